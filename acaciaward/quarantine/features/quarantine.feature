Feature: Requests that crash endpoints

  Scenario: A second death under a request run alone quarantines it
    Given a quarantine replay
    When "e1" dies under "poison, a, b"
    Then "poison, a, b" are suspects and nobody is quarantined
    When "e2" dies under "poison" alone, with "c" of another entry
    Then only "poison" is quarantined

  Scenario: Reports of several entries about one death count once
    Given a quarantine replay
    When "e1" dies under "poison, a"
    And "e1" dies under "poison, b"
    Then nobody is quarantined

  Scenario: Two deaths that share one request only quarantine it without a turn
    Given a quarantine replay
    When "e1" dies under "poison, a"
    And "e2" dies under "poison, b"
    Then "poison" is the sole suspect of two deaths, and "a, b" are not

  Scenario: Completing clears a suspect
    Given a quarantine replay
    When "e1" dies under "poison, a"
    And "a" completes alone
    And "e2" dies under "a" alone
    Then nobody is quarantined

  Scenario: The loss of a data centre quarantines nobody
    Given a quarantine replay
    When "e1" dies under "a"
    And "e2" is lost with its data centre under "a" alone
    Then nobody is quarantined

  Scenario: Suspicion and quarantine end
    Given a quarantine replay
    When "e1" dies under "poison, a"
    And "e2" dies under "poison" alone
    And 1801 seconds pass
    Then nobody is quarantined or suspected

  Scenario: One suspect an endpoint and one endpoint a suspect, over any order
    Then of all turns on any log at most one holds each endpoint and each subject

  Scenario: A crash is told from a lost connection, a reclaim and a wider loss
    Given endpoints "a1, a2" in "dc-a" and "b1" in "dc-b"
    Then the cause for "a1" is "alive"
    When "a1" stops listening
    Then the cause for "a1" is "crashed"
    When "a2" stops listening
    Then the cause for "a1" is "data_centre_lost"
    And the cause for "a1" is "crashed" if "a2" had died before
    When "b1" stops listening
    Then the cause for "b1" is "crashed"
    When "b1" is announced as leaving
    Then the cause for "b1" is "announced"
