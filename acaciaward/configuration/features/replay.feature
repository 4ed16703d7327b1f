Feature: One version everywhere, whatever the log brings

  Scenario: Replay and snapshots agree with a naive judge in any order of records
    Then every entry agrees with the judge over late, doubled and expired records

  Scenario: Any bytes as a record are skipped alike and hide nothing
    Then records of any JSON leave replay and snapshots of them in agreement

  Scenario: A damaged snapshot is never taken
    Then every mutation of a snapshot is refused or gives the same state

  Scenario: A patch under a known id never counts twice
    Given a replay with 3 accepted patches
    When a rejected patch comes again once its base has become current
    Then it stays rejected under its first verdict

  Scenario: Versions can be compared
    Given a replay with 3 accepted patches
    Then the difference of any two versions leads from one to the other
    And a version that is forgotten or ahead is refused by name

  Scenario: A snapshot of a process that slept doesn't put off the renewal
    Then only snapshots that leave no gap count as new

  Scenario: Checking only what changed gives the verdict of the whole check
    Then any change of a valid document is judged as the whole document would be
