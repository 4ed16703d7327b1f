Feature: One version everywhere, whatever the log brings

  Scenario: Replay and snapshots agree with a naive judge in any order of records
    Then every entry agrees with the model over late, repeated and expired records

  Scenario: Any bytes as a record are skipped alike and hide nothing
    Then records of any JSON leave replay and snapshots of them in agreement

  Scenario: A damaged snapshot is never taken
    Then every mutation of a snapshot is refused or gives the same state

  Scenario: A patch under a known id never counts twice
    Given a replay with 3 accepted patches
    When a rejected patch comes again once its base has become current
    Then it stays rejected with its first outcome

  Scenario: Versions can be compared
    Given a replay with 3 accepted patches
    Then the difference of any two versions leads from one to the other
    And a future or negative version is refused by its number

  Scenario: A snapshot of a process that slept doesn't put off the renewal
    Then only snapshots that leave no gap count as new

  Scenario: Checking only what changed gives the verdict of the whole check
    Then the check of a change agrees with the check of the whole patched document
