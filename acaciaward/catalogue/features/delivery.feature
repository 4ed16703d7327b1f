Feature: A confirmed configuration comes into force at every entry in time

  Entries read the store of a stand-in, each through a proxy of its own.

  # A reader kept its offset across a restore, and skipped the records below it for good.
  Scenario: A configuration below the next offset of a reader isn't skipped after a restore
    Given 2 data centres of 3 entries that follow the store
    When the store comes back from an older copy while no entry reaches it
    And its offsets are given out again before any entry reads on
    Then the newest configuration is in force everywhere when the entries are in contact
    And every entry knows the endpoints that the store lists
    And no entry ever went back to an older configuration

  # An answer that couldn't be decoded ended the task that follows the configuration.
  Scenario Outline: A follower goes on after an answer that can't be decoded
    Given 2 data centres of 3 entries that follow the store
    When the store answers every read with status <status> and the body "<body>" for 1 s
    And the next configuration is written
    Then it is in force everywhere within the bound after the contact time
    And every entry knows the endpoints that the store lists

    Examples:
      | status | body                 |
      | 410    |                      |
      | 410    | {"FirstOffset":null} |
      | 410    | []                   |
      | 200    | []                   |
      | 200    | {"Items":[{}]}       |
      | 200    | {"Items":[[]]}       |
      | 200    | {"EndOffset":"x"}    |

  # The readers' long polls hung, and their entries relied on the age of the endpoints.
  Scenario: A long poll whose answer is lost doesn't make a data centre late
    Given 2 data centres of 3 entries that follow the store
    When every reader has begun a long poll whose answer will be lost
    And the next configuration is written 0.1 s later
    Then it is in force everywhere within the bound

  # Relays named a newer version to an entry that couldn't read it from the store.
  Scenario Outline: An entry that the store turns away gets configurations from other entries
    Given 2 data centres of 3 entries that follow the store
    When the store turns away <who> of a data centre
    And the next configuration is written 0.5 s later
    Then it is in force everywhere within the bound for an unstable store

    Examples:
      | who               |
      | the reader        |
      | an entry          |
      | all but one entry |

  # Pooled connections that went silent while idle took one time-out each.
  Scenario: Idle connections that went silent don't delay a configuration
    Given 2 data centres of 3 entries that follow the store
    When every entry has read the store itself over several connections
    And all open connections to the store go silent and the contact time passes
    And the next configuration is written
    Then it is in force everywhere within the bound
    And no read of the store timed out since the contact time

  # Restores, silence, refusals and compaction left entries behind one after the other.
  Scenario: No drawn disturbance makes a configuration late, lost or undone
    Given 2 data centres of 3 entries that follow the store
    When they are disturbed in 5 rounds, drawn from the seed 3
    Then no round found a late, lost or older configuration
