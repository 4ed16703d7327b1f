Feature: Levels of quotas outlive the end of all entries

  Scenario: What was saved is where a new entry begins
    Given an entry whose level of "org" is 5000 of 9000
    When it saves and 3 s later another one starts
    Then that one begins with 2500 units of "org" and supposes 9 entries

  Scenario: Organisations that come later begin with what was saved, too
    Given an entry whose level of "org" is 5000 of 9000
    When it saves and 3 s later another one starts before it has a configuration
    Then that one begins with 2500 units of "org" and supposes 9 entries

  Scenario Outline: What can't be trusted changes nothing
    Given an entry whose level of "org" is 5000 of 9000
    When the record is <record> and another one starts
    Then that one begins with 1000 units of "org" and supposes 0 entries

    Examples:
      | record                   |
      | missing                  |
      | no JSON                  |
      | of another type          |
      | saved 11 s ago           |
      | saved 5 s in the future  |
      | of another organisation  |

  Scenario: A store that doesn't answer delays nothing
    Given an entry whose level of "org" is 5000 of 9000
    When the store is away and another one starts
    Then that one begins with 1000 units of "org" and supposes 0 entries
    And it goes on to save when the store is back

  Scenario: Only who holds the duties saves
    Given an entry whose level of "org" is 5000 of 9000
    When it doesn't hold the duties for 1 s
    Then nothing was saved

  Scenario: An entry that knows too little itself saves nothing
    Given an entry that has just started
    When it holds the duties for 1 s
    Then nothing was saved
