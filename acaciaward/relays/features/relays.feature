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

  Scenario: Crashes that entries of several data centres saw reach all
    Given 3 data centres with 3 entries each
    When each entry uses 10 units a second for 1 s
    Then each entry knows of 3 endpoints that one request crashed

  Scenario: A clock that is off is outvoted
    Given 3 data centres with 3 entries each
    When the clock of one entry is 40 s off
    And each entry uses 10 units a second for 5 s
    Then every reader's time is right to 0.5 s

  Scenario: Costs stay flat for an entry as entries grow
    Then a relay for 60 entries is at most 1.2 times one for 9

  Scenario: A reader adds up each report once, however many entries it tells
    Given a data centre with 75 entries
    When its reader tells each of them what the others have at endpoints
    Then no report was gone through more than twice
    And each entry is told of the load of the other 74

  Scenario: What a reader knows of endpoints, its entries know a moment later
    Given a reader and an entry of its data centre that know endpoint s-1
    When s-1 lapses at the reader around an outage
    Then s-1 is the last resort of both
    When s-1 leaves
    Then s-1 gets no new work from either

  Scenario: An entry that missed changes reads the store itself
    Given a reader and an entry of its data centre that know endpoint s-1
    When the entry misses a relay that says that s-1 has gone
    Then after 3 more relays the entry is not fed

  Scenario: A reader that can't read the store feeds nobody
    Given a reader and an entry of its data centre that know endpoint s-1
    When the reader has read nothing for 1.4 s
    Then the entry reads the store itself
    But it still hears 2 entries
