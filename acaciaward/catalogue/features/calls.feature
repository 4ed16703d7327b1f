Feature: The number of calls to the store doesn't grow with the number of entries

  Entries read the store of a stand-in, each through a proxy of its own.

  # The reader's read counted as older than its entries allow, so all of them read, too.
  Scenario Outline: In calm only the readers read the configuration and the endpoints
    Given 3 data centres of 6 entries that follow the store
    When the store takes <least> to <longest> s for a call and nothing changes for 8 s
    Then only one entry of each data centre has called for "keyed.op"
    And only one entry of each data centre has called for "keyed.servers"
    And none has called more than 3 times a second for "keyed.op"

    Examples:
      | least | longest |
      | 0.004 | 0.004   |
      | 0.004 | 0.25    |
      | 0.25  | 0.25    |

  # All entries listed the topic at each new configuration.
  Scenario Outline: Only readers read the store for a new configuration
    Given 3 data centres of 8 entries that follow the store
    When the store takes <least> to <longest> s for a call
    And 5 configurations are written, 1.1 s apart
    Then each was in force everywhere within the bound
    And only one entry of each data centre has called for "keyed.op"
    And no entry sent a configuration to more than 4 others

    Examples:
      | least | longest |
      | 0.004 | 0.004   |
      | 0.004 | 0.1     |
      | 0.25  | 0.25    |

  # Guards against entries that wait for peers for longer than the bound allows.
  Scenario Outline: Configurations are in force in time though <what>
    Given 3 data centres of 6 entries that follow the store
    When the store takes 0.004 to 0.25 s for a call
    And <what>
    And 3 configurations are written, 2.3 s apart
    Then each was in force everywhere within the bound

    Examples:
      | what                                        |
      | no entry answers requests for the record    |
      | half of the entries hang as they are asked  |
      | half of the entries are of an older build   |

  # Guards against an age that hides from entries that their reader knows nothing new.
  Scenario Outline: Entries whose reader fails have a configuration in force in time
    Given 2 data centres of 3 entries that follow the store
    When the store takes 0.004 to 0.25 s for a call
    And <what> in each data centre, <delay> s before the next configuration
    Then it is in force within the bound at all entries but the readers

    Examples:
      | what                                  | delay |
      | the reader stands still               | 0     |
      | the reader stands still               | 0.3   |
      | the reader stands still               | 0.6   |
      | the reader is cut off from the store  | 0     |
      | the reader is cut off from the store  | 0.3   |
      | the reader is cut off from the store  | 0.6   |
      | the store turns the reader away       | 0     |
      | the store turns the reader away       | 0.3   |

  # Guards against entries that rely on a reader for what no answer has shown.
  Scenario Outline: An answer shows the state at its request, or at the end of its wait
    Given a follower that waits 0.2 s, and a store that <answers>
    When the first long poll has been answered
    Then what it read is as old as <as>

    Examples:
      | answers                                    | as                   |
      | answers nothing new when the wait ends     | the end of the wait  |
      | answers nothing new before the wait ends   | the poll             |
      | answers a change when the wait ends        | the poll             |
      | answers a record without a key             | the poll             |
