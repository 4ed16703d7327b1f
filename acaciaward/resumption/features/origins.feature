Feature: Entries know together which software version began a stream

  # Callers take a stream up at any entry; each chose a version for itself (ORDER).
  Scenario: An entry that never saw a stream learns where it began
    Given 9 entries
    When stream "a" of org begins at entry 1, at v2
    Then each entry finds v2 for "a" of org

  # The entry that began a stream is often the one whose end broke it off.
  Scenario: What is known outlives the entry that began the stream
    Given 9 entries
    When stream "a" of org begins at entry 1, at v2
    And entry 1 ends
    Then each entry finds v2 for "a" of org

  Scenario: It outlives two of the three keepers as well
    Given 9 entries
    When stream "a" of org begins at entry 1, at v2
    And entry 1 ends
    And two keepers of "a" of org end
    Then each entry finds v2 for "a" of org

  Scenario: A keeper that hangs delays no answer of another
    Given 9 entries
    When stream "a" of org begins at entry 1, at v2
    And entry 1 ends
    And two keepers of "a" of org hang
    Then within 0.1 s each entry finds v2 for "a" of org

  Scenario: A stream that nobody knows is unknown soon, also where keepers hang
    Given 9 entries
    When two keepers of "a" of org hang
    Then within 0.5 s each entry finds nothing for "a" of org

  Scenario: The version that began a stream stays, whatever is told later
    Given 9 entries
    When stream "a" of org begins at entry 1, at v2
    And stream "a" of org begins at entry 2, at v1
    Then entry 1 finds v2 for "a" of org

  # The entry that took a stream up ended, and its caller named the last attempt.
  Scenario: A stream that was taken up is known by its later attempts, too
    Given 9 entries
    When stream "a" of org begins at entry 1, at v2
    And attempt "b" of org takes it up at entry 2, at v2
    And entries 1 and 2 end
    Then each entry finds v2 for "b" of org

  Scenario: An attempt of another organisation isn't found
    Given 9 entries
    When stream "a" of org begins at entry 1, at v2
    Then within 0.5 s each entry finds nothing for "a" of other

  Scenario: An entry sends no more messages with more entries
    Given 200 entries
    When 100 streams begin at entry 1
    Then entry 1 has told keepers and recorder of each, and 12 different ones at most

  Scenario: Streams are forgotten after a while, and their number is bounded
    Given 9 entries
    When 25000 streams begin at entry 1
    Then entry 1 remembers 20000 streams
    When 61 s pass
    And stream "a" of org begins at entry 1, at v2
    Then entry 1 remembers 1 streams
