Feature: An entry reads the configuration itself only if its reader's comes too late

  # Guards against reads by every entry, and against waiting for peers beyond two seconds.
  Scenario Outline: The reader <does>
    Given an entry with version 4, whose reader has version 4 and read it <age> s ago
    When <pause> s later the reader has version <version> and read it 0 s ago
    Then the entry relies on its peers for <relied> s more

    Examples: of relays that stop then
      | does                                | age | pause | version | relied |
      | reads on without a change           | 0.1 | 0.25  | 4       | 1.3    |
      | has an older version                | 0.1 | 0.25  | 3       | 1.3    |
      | has a newer version at once         | 0.1 | 0.25  | 5       | 0.75   |
      | has a newer version after a delay   | 0.6 | 0.4   | 5       | 0.5    |
      | has a newer version after too long  | 1.2 | 0.4   | 5       | 0      |

  Scenario: An entry that has got the newer version relies on its reader again
    Given an entry with version 4, whose reader has version 4 and read it 0.6 s ago
    When 0.4 s later the reader has version 5 and read it 0 s ago
    And the entry gets version 5 from a peer
    Then the entry relies on its peers for 1.3 s more
    When 0.9 s later the reader has version 6 and read it 0 s ago
    Then the entry relies on its peers for 0.6 s more

  Scenario: Repeated relays with a newer version don't prolong the wait for it
    Given an entry with version 4, whose reader has version 4 and read it 0.1 s ago
    When 0.25 s later the reader has version 5 and read it 0 s ago
    And 0.25 s later the reader has version 5 and read it 0 s ago
    And 0.25 s later the reader has version 6 and read it 0 s ago
    Then the entry relies on its peers for 0.25 s more

  # The ages in late relays didn't count the way: entries relied on a reader with a full
  # link for 10 s, and handled requests by a configuration that was no longer in force.
  Scenario Outline: Relays that <come> are as old as they are
    Given an entry with version 4, whose reader has version 4 and read it 0.1 s ago
    When relays <come>, each sent 0.1 s after the reader read version 4
    Then the entry relies on its peers for <relied> s more

    Examples:
      | come                                        | relied |
      | come in time                                | 1.2    |
      | take 0.2 s                                  | 1.2    |
      | take longer and longer, up to 0.8 s         | 0.52   |
      | take longer and longer, up to 3 s           | 0      |
      | take 3 s once, and come in time again       | 1.2    |
      | come in time, from a reader that took over  | 1.2    |
