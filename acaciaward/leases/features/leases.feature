Feature: One holder at a time, and a paused one does no harm

  Scenario: Replay agrees with a naive judge in any order of records
    Then every replay agrees with the judge over late, doubled and foreign records

  Scenario: One of three wins, keeps the duty and hands it over
    Given 3 entries that want the duty "fleet"
    Then exactly one holds it for 1.5 s
    When the holder gives it up
    Then another holds it with a higher fence and at once

  Scenario: A holder that dies is followed after its lease and the order time-out
    Given 3 entries that want the duty "fleet"
    When the holder dies
    Then another holds it with a higher fence, never both at once
    And the takeover is counted and logged

  Scenario: Without the log the duty lapses in time and comes back
    Given 3 entries that want the duty "fleet"
    When the log is down
    Then nobody holds the duty before the lease could be granted anew
    When the log is back
    Then exactly one holds it for 0.5 s

  Scenario: Lost answers and late appends give no second holder
    Given 3 entries that want the duty "fleet"
    When the log loses answers and lets appends land 0.2 s late for 2 s
    Then there were never two holders and fences never fell

  Scenario: A holder that learns late of its grant counts from when it asked
    Given 2 entries that want the duty "fleet"
    When one that reads the log 0.45 s late takes the duty over for a while
    Then there were never two holders and fences never fell

  Scenario: A frozen holder wakes and a fenced engine refuses its order
    Given 2 entries that want the duty "fleet"
    And an engine that checks fencing numbers
    When the holder is frozen between its check and its order
    Then the order is refused and the engine keeps the new holder's state

  Scenario: An engine that ignores numbers is repaired within one round
    Given 2 entries that want the duty "fleet"
    And an engine that ignores fencing numbers
    When the holder is frozen between its check and its order
    Then the engine has the new holder's state again within one round

  Scenario: A process that begins inside the stream waits until it knows
    Then a newcomer finds the start by time and acts only once it is settled

  Scenario: Only candidates read the log
    Given 3 entries that want the duty "fleet"
    And 6 more entries that are no candidates
    Then the others don't read the log
