Feature: Quota levels survive a restart of all entries

  Scenario: A new entry starts from the saved level
    Given an entry whose level of "org" is 5000 of 9000
    When it saves and 3 s later another one starts
    Then the new entry starts with 2500 units of "org" and assumes 9 entries

  Scenario: Organisations that are configured later start from the saved level too
    Given an entry whose level of "org" is 5000 of 9000
    When it saves and 3 s later another one starts before it has a configuration
    Then the new entry starts with 2500 units of "org" and assumes 9 entries

  Scenario Outline: An invalid or outdated record is ignored
    Given an entry whose level of "org" is 5000 of 9000
    When the record is <record> and another one starts
    Then the new entry starts with 1000 units of "org" and assumes 0 entries

    Examples:
      | record                   |
      | missing                  |
      | no JSON                  |
      | of another type          |
      | saved 11 s ago           |
      | saved 5 s in the future  |
      | of another organisation  |

  Scenario: An unavailable store doesn't delay the start
    Given an entry whose level of "org" is 5000 of 9000
    When the store is unavailable and another one starts
    Then the new entry starts with 1000 units of "org" and assumes 0 entries
    And it saves when the store is available again

  Scenario: Only the entry that holds the duties saves
    Given an entry whose level of "org" is 5000 of 9000
    When it doesn't hold the duties for 1 s
    Then nothing was saved

  Scenario: An entry that is still warming up saves nothing
    Given an entry that has just started
    When it holds the duties for 1 s
    Then nothing was saved
