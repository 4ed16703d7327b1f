Feature: Requests that crash endpoints

  Scenario: A second death while a request runs alone quarantines it
    Given a quarantine replay
    When "e1" dies while running "poison, a, b"
    Then "poison, a, b" are suspects and no request is quarantined
    When "e2" dies while running "poison" alone, with "c" from another entry
    Then only "poison" is quarantined

  Scenario: Reports of several entries about one death count once
    Given a quarantine replay
    When "e1" dies while running "poison, a"
    And "e1" dies while running "poison, b"
    Then no request is quarantined

  Scenario: Two deaths with a single request in common quarantine it without a turn
    Given a quarantine replay
    When "e1" dies while running "poison, a"
    And "e2" dies while running "poison, b"
    Then "poison" is the sole suspect of two deaths, and "a, b" are not

  Scenario: Completing clears a suspect
    Given a quarantine replay
    When "e1" dies while running "poison, a"
    And "a" completes alone
    And "e2" dies while running "a" alone
    Then no request is quarantined

  Scenario: The loss of a data centre quarantines no request
    Given a quarantine replay
    When "e1" dies while running "a"
    And "e2" is lost with its data centre while running "a" alone
    Then no request is quarantined

  Scenario: Suspicion and quarantine end
    Given a quarantine replay
    When "e1" dies while running "poison, a"
    And "e2" dies while running "poison" alone
    And 1801 seconds pass
    Then no request is quarantined or suspected

  Scenario: One suspect per endpoint and one endpoint per suspect, in any order of the log
    Then on any log at most one turn is granted for each endpoint and each subject

  Scenario: A crash is distinguished from a lost connection, a reclaim and a wider loss
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
