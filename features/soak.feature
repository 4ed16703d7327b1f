Feature: Real entries keep their promises while faults overlap

  Scenario: A short soak from a seed
    When seed 1 is soaked for 30 s with 3 entries
    Then no promise was broken
    And 500 requests or more were served under 5 faults or more

  Scenario Outline: A build that breaks a promise is caught
    When seed 1 is soaked for 30 s with 3 entries and the plant <plant>
    Then the promise <promise> was broken

    Examples:
      | plant   | promise |
      | unasked | UNASKED |
      | quota   | QUOTA   |
