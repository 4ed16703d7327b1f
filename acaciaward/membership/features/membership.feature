Feature: Entries know one another at a constant cost

  Scenario: Entries that know one seed come to know all
    Given 9 entries at 10 times the pace
    Then every entry knows the others as live

  Scenario: A killed entry is dead everywhere, and returns
    Given 9 entries at 10 times the pace
    When entry-4 is killed
    Then every other entry holds entry-4 for dead
    When entry-4 starts anew
    Then every entry knows the others as live

  Scenario: A graceful leave is known and ends as dead
    Given 9 entries at 10 times the pace
    When entry-4 leaves
    Then every other entry holds entry-4 for leaving
    When entry-4 is killed
    Then every other entry holds entry-4 for dead

  Scenario: A cut in one direction between two entries condemns neither
    Given 9 entries at 10 times the pace
    When messages from entry-2 to entry-3 are lost
    Then for 1.5 s nobody holds entry-2 or entry-3 for dead

  Scenario: A frozen process is dead, wakes, refutes it and blames nobody
    Given 9 entries at 10 times the pace
    When entry-5 is frozen
    Then every other entry holds entry-5 for dead
    When entry-5 wakes
    Then every entry knows the others as live
    And entry-5 has raised its incarnation
    And no entry but entry-5 was ever held for dead

  Scenario: A region that was cut off meets the others again
    Given 9 entries at 10 times the pace
    When entry-7, entry-8 and entry-9 are cut off
    Then both sides hold each other for dead
    When the cut is healed
    Then every entry knows the others as live

  Scenario: Hints reach every entry in less than 2 s at the real pace
    Given 9 entries at 1 times the pace
    When entry-6 publishes a hint of each urgent kind
    Then every entry holds them in less than 2 s

  Scenario: Urgent hints come through a flood of load hints
    Given 9 entries at 1 times the pace
    When every entry publishes 500 load hints
    And entry-6 publishes a hint of each urgent kind
    Then every entry holds them in less than 2 s

  Scenario: Messages and bytes of an idle entry don't grow with the number
    Given 9 entries at 10 times the pace
    When the messages of 3 s are counted
    And 27 more entries start
    And the messages of 3 s are counted
    Then messages and bytes for each entry grew at most 1.3 times
