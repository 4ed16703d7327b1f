Feature: Entries track one another at a constant cost

  Scenario: Entries that know one seed discover all others
    Given 9 entries at 10 times normal speed
    Then every entry sees the others as live

  Scenario: A killed entry is considered dead by all and rejoins after a restart
    Given 9 entries at 10 times normal speed
    When entry-4 is killed
    Then every other entry sees entry-4 as dead
    When entry-4 restarts
    Then every entry sees the others as live

  Scenario: A leaving entry is seen as leaving and, once it has ended, as dead
    Given 9 entries at 10 times normal speed
    When entry-4 leaves
    Then every other entry sees entry-4 as leaving
    When entry-4 is killed
    Then every other entry sees entry-4 as dead

  Scenario: Message loss in one direction between two entries makes neither dead
    Given 9 entries at 10 times normal speed
    When messages from entry-2 to entry-3 are lost
    Then for 1.5 s no entry sees entry-2 or entry-3 as dead

  Scenario: A frozen process is considered dead, refutes this when it resumes and considers no other dead
    Given 9 entries at 10 times normal speed
    When entry-5 is frozen
    Then every other entry sees entry-5 as dead
    When entry-5 resumes
    Then every entry sees the others as live
    And entry-5 has raised its incarnation
    And no entry but entry-5 was ever seen as dead

  Scenario: A partitioned region rejoins the others
    Given 9 entries at 10 times normal speed
    When entry-7, entry-8 and entry-9 are partitioned from the rest
    Then each side sees the other as dead
    When the partition heals
    Then every entry sees the others as live

  Scenario: Hints reach every entry in less than 2 s at normal speed
    Given 9 entries at 1 times normal speed
    When entry-6 publishes a hint of each urgent kind
    Then every entry has received them in less than 2 s

  Scenario: Urgent hints arrive in time during a flood of load hints
    Given 9 entries at 1 times normal speed
    When every entry publishes 500 load hints
    And entry-6 publishes a hint of each urgent kind
    Then every entry has received them in less than 2 s

  Scenario: Messages and bytes of an idle entry don't grow with the number of entries
    Given 9 entries at 10 times normal speed
    When messages are counted for 3 s
    And 27 more entries start
    And messages are counted for 3 s
    Then messages and bytes per entry grew by a factor of at most 1.3

  Scenario: An entry that reaches no endpoint is known to all, until it does again
    Given 9 entries at 10 times normal speed
    When entry-4 is isolated from endpoints
    Then every other entry knows that entry-4 is isolated
    And every entry sees the others as live
    When entry-4 reaches endpoints again
    Then no other entry thinks that entry-4 is isolated

  Scenario: An entry of an older build takes no detours and isn't isolated
    Given the record of an entry of an older build
    Then it has no port for detours and isn't isolated
