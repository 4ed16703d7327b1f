Feature: Every entry replays the same version, whatever records the log holds

  Scenario: Replay and snapshots agree with a reference model in any order of records
    Then every entry agrees with the model over late, repeated and expired records

  Scenario: Records of any JSON are skipped alike, and the records after them are replayed
    Then records of any JSON leave replay and snapshots of them in agreement

  Scenario: A corrupted snapshot is never loaded
    Then every mutation of a snapshot is refused or gives the same state

  Scenario: A patch under a known id is never applied twice
    Given a replay with 3 accepted patches
    When a rejected patch comes again once its base has become current
    Then it stays rejected with its first outcome

  Scenario: Versions can be compared
    Given a replay with 3 accepted patches
    Then the difference of any two versions leads from one to the other
    And a future or negative version is refused by its number

  Scenario: A snapshot written by a process that was paused doesn't delay the renewal
    Then only snapshots that leave no gap count as new

  Scenario: Checking only what changed gives the same result as the complete check
    Then the check of a change agrees with the check of the complete patched document
