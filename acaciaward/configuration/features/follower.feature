Feature: Following the log and determining the outcomes of patches

  Scenario: A patch whose answer is lost after the effect is applied once
    Given 3 entries in 3 data centres
    When the log loses 1 answers after the effect
    And a patch is submitted
    Then it is accepted as version 1 at every entry
    And the log holds 1 copies of it

  Scenario: An append that is lost before its effect is retried
    Given 3 entries in 3 data centres
    When the log loses 1 appends before the effect
    And a patch is submitted
    Then it is accepted as version 1 at every entry

  Scenario: Copies of a patch that are appended late change nothing
    Given 3 entries in 3 data centres
    When appends take effect 0.9 s late
    And a patch is submitted
    Then it is accepted as version 1 at every entry
    And a second copy that is appended later leaves version 1 in force

  Scenario: A refused patch was not appended, and a short outage of the log is retried
    Given 3 entries in 3 data centres
    When the log is down
    Then a patch is refused with nothing on the log
    When the log is back after 0.3 s while a patch is submitted
    Then it is accepted as version 1 at every entry

  # A wait between two appends that ended after the bound made the outcome unknown.
  Scenario: A patch that was never appended is refused when the event loop stalls
    Given 3 entries in 3 data centres
    When the log is down
    And the event loop is about to stall past the bound of a patch
    Then a patch is refused with nothing on the log

  Scenario: One id names one patch
    Given 3 entries in 3 data centres
    When a patch is submitted
    Then the same id with the same content is answered alike and not appended
    And the same id with another content is refused as a conflict

  Scenario: The answer to a stale patch lists the changes since its base
    Given 3 entries in 3 data centres
    When a patch is submitted
    Then a patch against version 0 is stale and returns version 1 and its author

  Scenario: An accepted answer names the entries that have not reported
    Given 3 entries in 3 data centres
    When entry-3 stops answering its peers
    And a patch is submitted
    Then it is accepted and entry-3 is named as missing

  Scenario: Entries stay current through one another while the log is down
    Given 6 entries in 3 data centres
    When the log is down for 3 times the bound
    Then every entry is current
    And the log was asked at most 40 times while down

  Scenario: A partitioned data centre stops accepting new work
    Given 6 entries in 3 data centres
    When dc-3 loses the log and the other data centres
    Then its entries stop within the bound and the others are current
    And after the partition they hold what was accepted meanwhile

  Scenario: A newcomer loads its state from a peer while the log is down
    Given 3 entries in 3 data centres
    When a patch is submitted
    And the log is down
    And a newcomer starts in dc-1
    Then the newcomer is current with version 1

  Scenario: A state older than a reported version is not loaded
    Given 3 entries in 3 data centres
    When a patch is submitted
    And the log is down
    And entry-2 reports version 7
    And a newcomer starts in dc-1
    Then the newcomer has no state

  Scenario: A record of a newer rule set is not guessed at but stops new work
    Given 3 entries in 3 data centres
    When a record of a newer rule set is appended
    Then every entry stops accepting new work and keeps its version

  Scenario: Reads of the log don't grow with the entries
    Given 3 entries in 1 data centres
    When the reads of 1.5 s are counted
    And 9 more entries start in dc-1
    And the reads of 1.5 s are counted
    Then the second count is at most 1.3 times the first

  Scenario: Entries replaced one by one over several retention periods lose nothing
    Given 3 entries in 3 data centres
    And the log retains records for 1.2 s
    When patches go on while every entry is replaced 3 times
    Then every version is in force and none was lost
    And an entry that starts from the log alone has the same document

  Scenario: Snapshots that leave a gap or claim a later offset are not loaded
    Then a newcomer refuses a log whose snapshots leave a gap
    And a newcomer skips a snapshot that claims a later offset
