Feature: Streams stay complete when entries stop, and end when callers disconnect

  Scenario: A stream continues at another entry after its entry is killed
    Given 3 entries and 2 engines whose steps take 0.02 s
    When a caller streams 120 tokens and its entry is killed after 20
    Then the caller has the complete answer, each token once
    And no engine started a second stream

  Scenario: A stream continues after its entry and its engine are killed together
    Given 3 entries and 2 engines whose steps take 0.02 s
    When a caller streams 120 tokens and its entry and its engine are killed after 20
    Then the caller has the complete answer, each token once
    And the engines generated no token of the first 20 again

  Scenario: Stolen or altered resume tokens are refused, disconnects are detected
    Given 2 entries and 1 engines whose steps take 0.02 s
    When a caller aborts a stream and others try its resume token
    Then every try is refused with the same message
    When callers of a stream and an unstreamed answer disconnect while the engine stalls
    Then the engine has cancelled both within 1 s

  Scenario: An entry that gets SIGTERM hands its streams over
    Given 3 entries and 2 engines whose steps take 0.03 s
    When an entry gets SIGTERM while 4 streams and 2 unstreamed answers of 110 tokens run
    Then every answer is complete and no token was recomputed
    And discovery dropped the entry within 1 s
    And it exited while they still ran
    And it exited with 0

  Scenario: A second signal stops an entry at once
    Given 2 entries and 1 engines whose steps take 0.03 s
    When an entry gets two signals while a stream runs
    Then it exited with 1 within 2 s

  Scenario: A stop with no entry to hand over to ends at its time limit
    Given a single entry whose stops take at most 3 s
    When it gets SIGTERM while a stream runs
    Then it exited with 1 within 6 s

  Scenario: An entry whose instance is reclaimed stops by itself
    Given 2 entries and 1 engines whose steps take 0.02 s
    When a caller streams 120 tokens and its entry gets a notice of 4 s
    Then the caller has the complete answer, each token once
    And it exited with 0 within 6 s

  Scenario: An entry that hands over redirects new requests and resumes
    Given 2 entries and 1 engines whose steps take 0.02 s
    When an entry hands over while a slow call keeps it from exiting
    Then new requests and resumes are redirected to the other entry, which answers them
    And the slow call is answered and the entry exits with 0
