Feature: Real entries keep their promises while faults overlap

  Scenario: A short soak from a seed
    When a soak with seed 1 and 3 entries runs for 30 s
    Then no promise was broken
    And 500 requests or more were served under 5 faults or more

  Scenario Outline: A build that breaks a promise is caught
    When a soak with seed 1, 3 entries and the plant <plant> runs for 30 s
    Then the promise <promise> was broken

    Examples:
      | plant   | promise |
      | unasked | UNASKED |
      | quota   | QUOTA   |

  # Callers gave a stream up while all entries were down, so that no soak showed it.
  Scenario: A build that guesses the version which began a stream is caught
    When a soak with seed 2, 3 entries and the plant guessed loses all entries often for 30 s
    Then the promise ORDER was broken

  # All callers ended without a word, and with them what the soak could see.
  Scenario: A caller goes on when an entry is killed under its discovery
    When a soak's caller asks discovery at an entry that ends while it answers
    Then the caller goes on
