Feature: Entries that know no address of each other meet through the store

  # Newcomers whose seeds had all ended stayed alone for good.
  Scenario: Newcomers whose seed has ended join the others, and each other
    Given 9 entries with contacts in a store
    When entry-1 is killed
    And 3 more entries start whose seed has ended
    Then every entry sees the others as live within 5 s

  Scenario: Newcomers whose seed has ended find each other when no other entry runs
    Given 9 entries with contacts in a store
    When all entries are killed
    And 5 more entries start whose seed has ended
    Then every entry sees the others as live within 5 s

  # Groups that never knew each other have no dead peers to try.
  Scenario: Two groups that don't know each other meet once there is a path
    Given 9 entries with contacts in a store
    When entry-1 is killed
    And 4 more entries start whose seed has ended, cut off from the others
    Then for 130 s they are a group of their own
    And all entries count 12 entries
    When the cut ends
    Then every entry sees the others as live within 5 s
    And 1 s later all entries count 12 entries

  # A store that was restored from an older copy has lost the last seconds.
  Scenario: Newcomers join after the store lost all records
    Given 9 entries with contacts in a store
    When entry-1 is killed
    And the store is restored from an empty copy
    And 3 more entries start whose seed has ended
    Then every entry sees the others as live within 5 s

  Scenario: Newcomers join when the store is back
    Given 9 entries with contacts in a store
    When entry-1 is killed
    And the store is down
    And 3 more entries start whose seed has ended
    Then after 20 s each of them is alone
    When the store is up again
    Then every entry sees the others as live within 5 s

  # Others may write to the topic, too: a fault there mustn't keep entries apart.
  Scenario: Odd records are skipped and counted once, and all else is used
    Given 9 entries with contacts in a store
    When entry-1 is killed
    And others write odd records
    And 3 more entries start whose seed has ended
    Then every entry sees the others as live within 5 s
    And each of them counted each odd record once in 30 s

  Scenario: Records of entries that have ended are removed
    Given 9 entries with contacts in a store
    When 6 entries are killed
    Then after 400 s the store has the records of 3 entries

  # Messages and calls that grow with the number of entries decide how many there can be.
  Scenario Outline: Records cost few calls of the store, and no messages of entries
    Given <count> entries with contacts in a store
    Then in 60 s they read the records at most 1.2 times a second and write 0.4 times
    And they sent as many messages and bytes as entries without records

    Examples:
      | count |
      | 9     |
      | 60    |

  Scenario: An entry that is alone reads the records once a second
    Given 1 entries with contacts in a store
    Then in 60 s they read the records at most 1.1 times a second and write 0.2 times
