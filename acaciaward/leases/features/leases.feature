Feature: One holder at a time, and a paused holder does no harm

  Scenario: The replay agrees with a reference model in any order of records
    Then every replay agrees with the model over late, duplicate and foreign records

  Scenario: One of three acquires the duty, keeps it and hands it over
    Given 3 entries that want the duty "fleet"
    Then exactly one holds it for 1.5 s
    When the holder releases it
    Then another holds it at once with a higher fence

  Scenario: A dead holder is replaced after its lease and the order timeout
    Given 3 entries that want the duty "fleet"
    When the holder dies
    Then another holds it with a higher fence, never both at once
    And the takeover is counted and logged

  Scenario: Without the log the lease lapses in time, and later one is granted again
    Given 3 entries that want the duty "fleet"
    When the log is down
    Then nobody holds the duty any more when its lease could be granted again
    When the log is back
    Then exactly one holds it for 0.5 s

  Scenario: Lost answers and late appends give no second holder
    Given 3 entries that want the duty "fleet"
    When the log loses answers and applies appends 0.2 s late for 2 s
    Then there were never two holders and fences never decreased

  Scenario: A holder that reads its grant late counts the lease from its request
    Given 2 entries that want the duty "fleet"
    When one that reads the log 0.45 s late takes the duty over for a while
    Then there were never two holders and fences never decreased

  Scenario: A frozen holder resumes and a fencing engine refuses its order
    Given 2 entries that want the duty "fleet"
    And an engine that checks fencing tokens
    When the holder is frozen between its check and its order
    Then the order is refused and the engine keeps the new holder's state

  Scenario: An engine that ignores fencing tokens is corrected within one round
    Given 2 entries that want the duty "fleet"
    And an engine that ignores fencing tokens
    When the holder is frozen between its check and its order
    Then the engine has the new holder's state again within one round

  Scenario: A process that starts in mid-stream waits until its replay is settled
    Then a new entry finds its start by time and acts only once its replay is settled

  Scenario: Only candidates read the log
    Given 3 entries that want the duty "fleet"
    And 6 more entries that are not candidates
    Then the entries that are not candidates don't read the log
