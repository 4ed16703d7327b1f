Feature: One reader in each data centre tells the others what they need

  Scenario: Every entry learns the use and load of all others
    Given 3 data centres with 3 entries each
    When each entry uses 10 units a second for 5 s
    Then each entry has heard of 80 units a second from 9 entries

  Scenario: An entry that starts anew doesn't lower what others know
    Given 3 data centres with 3 entries each
    When each entry uses 10 units a second for 5 s
    And an entry starts anew
    And each entry uses 10 units a second for 5 s
    Then no entry ever heard of use that fell
    And each entry has heard of 80 units a second from 9 entries

  Scenario: Loads of an entry that is gone are forgotten
    Given 3 data centres with 3 entries each
    When each entry uses 10 units a second for 5 s
    And an entry dies
    And each entry uses 10 units a second for 5 s
    Then each entry knows the loads of 7 others

  Scenario: A clock that is off is outvoted
    Given 3 data centres with 3 entries each
    When the clock of one entry is 40 s off
    And each entry uses 10 units a second for 5 s
    Then every reader's time is right to 0.5 s

  Scenario: Costs stay flat for an entry as entries grow
    Then a relay for 60 entries is at most 1.2 times one for 9
