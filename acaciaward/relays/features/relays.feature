Feature: One reader in each data centre relays state to the other entries

  Scenario: Every entry learns the use and load of all others
    Given 3 data centres with 3 entries each
    When each entry uses 10 units a second for 5 s
    Then each entry has received a use of 80 units a second from 9 entries

  Scenario: An entry that restarts doesn't lower the use that others know
    Given 3 data centres with 3 entries each
    When each entry uses 10 units a second for 5 s
    And an entry restarts
    And each entry uses 10 units a second for 5 s
    Then no entry ever received a use that fell
    And each entry has received a use of 80 units a second from 9 entries

  # What a cut-off data centre had spent of its own part was charged to all at once.
  Scenario: What entries used while they were cut off isn't charged when they are back
    Given 3 data centres with 3 entries each
    When each entry uses 10 units a second for 5 s
    And a data centre is cut off while each entry uses 10 units a second for 40 s
    And each entry uses 10 units a second for 0.5 s
    Then no entry has received a use that rose by more than 150 units meanwhile
    And no entry ever received a use that fell

  Scenario: Loads of an entry that has failed are dropped
    Given 3 data centres with 3 entries each
    When each entry uses 10 units a second for 5 s
    And an entry fails
    And each entry uses 10 units a second for 5 s
    Then each entry knows the loads of 7 others

  Scenario: Crashes seen in several data centres reach all entries
    Given 3 data centres with 3 entries each
    When each entry uses 10 units a second for 1 s
    Then each entry knows of 3 endpoints that one request crashed

  Scenario: A wrong clock is outvoted
    Given 3 data centres with 3 entries each
    When the clock of one entry is 40 s off
    And each entry uses 10 units a second for 5 s
    Then every reader's time is accurate to 0.5 s

  Scenario: The size of a relay doesn't grow with the number of entries
    Then a relay for 60 entries is at most 1.2 times one for 9

  Scenario: A reader adds up each report once, however many entries it relays to
    Given a data centre with 75 entries
    When its reader computes the sums for each of them
    Then no report was iterated over more than twice
    And each entry gets the load of the other 74

  Scenario: Changes of endpoints at a reader reach its entries with the next relay
    Given a reader and an entry of its data centre that know endpoint s-1
    When s-1's record lapses at the reader just after a store outage
    Then s-1 is used by both only as a last resort
    When s-1 leaves
    Then s-1 gets no new work from either

  Scenario: An entry that missed changes reads the store itself
    Given a reader and an entry of its data centre that know endpoint s-1
    When the entry misses a relay with the removal of s-1
    Then after 3 more relays the entry no longer relies on relays

  Scenario: Entries don't rely on a reader that can't read the store
    Given a reader and an entry of its data centre that know endpoint s-1
    When the reader has read nothing for 1.4 s
    Then the entry reads the store itself
    But it still receives sums over 2 entries

  # Guards against a reader that corrects its whole data centre to its own wrong clock.
  Scenario: A reader that has just started with a wrong clock corrects no other entry
    Given a reader and an entry of its data centre that know endpoint s-1
    When the reader's clock is 30 s ahead as it starts
    Then the entry's clock isn't corrected
    When it hears of 3 clocks of another data centre
    Then both clocks are corrected to the entry's time

  Scenario: A reader shows the size of its relays by part
    Given a reader and an entry of its data centre that know endpoint s-1
    When the reader relays for 2.1 s
    Then the parts of its last relay add up to a size over 100 bytes
