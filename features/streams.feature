Feature: Nothing is cut when entries end or callers leave

  Scenario: A stream goes on at another entry after its entry is killed
    Given 3 entries and 2 engines whose steps take 0.02 s
    When a caller streams 120 tokens and its entry is killed after 20
    Then the caller has the whole answer, each token once
    And no engine began a second stream

  Scenario: A stream goes on after its entry and its engine are killed together
    Given 3 entries and 2 engines whose steps take 0.02 s
    When a caller streams 120 tokens and its entry and its engine are killed after 20
    Then the caller has the whole answer, each token once
    And the engines generated no token of the first 20 again

  Scenario: Tokens that are stolen or altered are refused, callers that leave are seen
    Given 2 entries and 1 engines whose steps take 0.02 s
    When a caller breaks off a stream and others try its resume token
    Then every try is refused with the same words
    When callers of a stream and of a whole answer go away while the engine stalls
    Then the engine has cancelled both within 1 s

  Scenario: An entry that is told to stop hands its streams over
    Given 3 entries and 2 engines whose steps take 0.03 s
    When an entry is told to stop while 4 streams and 2 whole answers of 110 tokens run
    Then every answer is whole and none was recomputed
    And the entry left discovery within 1 s
    And it exited while they still ran
    And it exited with 0

  Scenario: A second signal stops an entry at once
    Given 2 entries and 1 engines whose steps take 0.03 s
    When an entry gets two signals while a stream runs
    Then it exited with 1 within 2 s

  Scenario: A stop that can hand nothing over ends at its limit
    Given a single entry whose stops take at most 3 s
    When it is told to stop while a stream runs
    Then it exited with 1 within 6 s

  Scenario: An entry whose instance is reclaimed leaves by itself
    Given 2 entries and 1 engines whose steps take 0.02 s
    When a caller streams 120 tokens and its entry gets a notice of 4 s
    Then the caller has the whole answer, each token once
    And it exited with 0 within 6 s

  Scenario: An entry that hands over sends new requests and resumes on
    Given 2 entries and 1 engines whose steps take 0.02 s
    When an entry hands over while a slow call keeps it from ending
    Then new requests and resumes are sent on to the other entry, which answers them
    And the slow call is answered and the entry exits with 0
