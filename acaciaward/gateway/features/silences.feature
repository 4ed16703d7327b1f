Feature: What an endpoint works on isn't given up because it is silent for a second

  A sound endpoint may send nothing for a second or so, as a process that is stopped and
  goes on. Another endpoint may be asked meanwhile, but a refusal, an empty retry budget
  or another endpoint that is silent, too, must not cost the caller what the first one
  still works on.

  # Callers' streams were cut with "attempts used up" while their endpoints went on (LOST).
  Scenario: A stream goes on after a silence though another endpoint refuses it
    Given a front for resumable streams
    And a stream is silent after 3 events and goes on a second later, and others refuse
    When a caller with a timeout of 2.9 s asks
    Then the events are 1 to 6 and the answer is complete

  # The caller got 502 (LOST).
  Scenario: A stream begins after a silence though another endpoint refuses it
    Given a front for resumable streams
    And a stream is silent after 0 events and goes on a second later, and others refuse
    When a caller with a timeout of 2.9 s asks
    Then the events are 1 to 3 and the answer is complete

  # The caller got 502 though the answer was on its way (LOST).
  Scenario: An idempotent call is answered after a silence though another endpoint refuses it
    Given a front for idempotent requests
    And an answer comes after 0.6 s, and others refuse
    When a caller with a timeout of 2.9 s asks
    Then the answer is 200 with the body "late"
    And 2 endpoints were tried

  # Guards against a second run of what may run once, and against giving it up.
  Scenario: A call that may run only once waits for an endpoint that is silent
    Given a front for non_idempotent requests
    And an answer comes after 1.2 s, and others refuse
    When a caller with a timeout of 2.9 s asks
    Then the answer is 200 with the body "late"
    And 1 endpoints were tried

  Scenario: A stream goes on after a silence though another endpoint is lost
    Given a front for resumable streams
    And a stream is silent after 3 events and goes on a second later, and others die
    When a caller with a timeout of 2.9 s asks
    Then the events are 1 to 6 and the answer is complete

  Scenario: A stream goes on after a silence though another endpoint is silent, too
    Given a front for resumable streams
    And a stream is silent after 3 events and goes on a second later, and others hang
    When a caller with a timeout of 2.9 s asks
    Then the events are 1 to 6 and the answer is complete
    And 2 endpoints were tried

  # Guards against two runs of one request at once for longer than TWICE allows.
  Scenario: The silent endpoint is left as soon as another one continues the stream
    Given a front for resumable streams
    And the endpoints stream 1 to 3 and hang, then 4 to 5 and end a second later
    When a caller with a timeout of 2.9 s asks
    Then the events are 1 to 6 and the answer is complete
    And the silent endpoint was left within 0.4 s of the second request

  Scenario: The silent endpoint is left soon after another one has accepted the stream
    Given a front for resumable streams
    And a stream hangs after 3 events, and the next endpoint sends 4 to 6 after 0.8 s
    When a caller with a timeout of 2.9 s asks
    Then the events are 1 to 6 and the answer is complete
    And the silent endpoint was left within 0.4 s of the second request

  Scenario: An answer that begins before the other endpoint's cancels that one
    Given a front for resumable streams
    And a stream is silent after 3 events and goes on a second later, and others hang
    When a caller with a timeout of 2.9 s asks
    Then the events are 1 to 6 and the answer is complete
    And no endpoint works on the call any more

  Scenario: A caller that leaves cancels its call at both endpoints
    Given a front for resumable streams
    And no endpoint answers
    When a caller leaves 1 s later, without an answer
    Then 2 endpoints were tried
    And no endpoint works on the call any more

  # The budget was read for all streams in the same moment, and spent for one by one.
  Scenario: Streams that fall silent at once go on when the retry budget is spent
    Given a front for streams with 2 endpoints and as many attempts
    And the budget of repeats allows 3 more
    And all streams are silent after 3 events and go on a second later
    When 12 callers with a timeout of 2.9 s ask at once
    Then each gets the events 1 to 6 and a complete answer
    And no more than 3 calls were sent twice

  # A peer that is held up was given up for another one, which refused (LOST).
  Scenario: A stream through a peer goes on though the peer seems gone and the other refuses
    Given an entry for resumable streams that is cut off, and 2 peers
    And a peer's endpoint is silent after 3 events and goes on, and others refuse
    And the peers are counted as gone 0.3 s later, and one is back after 0.2 s
    When a caller with a timeout of 2.9 s asks
    Then the events are 1 to 6 and the answer is complete

  # The caller got 502 as the first peer refused, though the second one's answer was coming.
  Scenario: A call goes on at the second peer though the first one refuses it late
    Given an entry for resumable streams that is cut off, and 2 peers
    And a peer's endpoint refuses after 1.5 s, and the other's streams 1 to 3 after 0.9 s
    When a caller with a timeout of 3.9 s asks
    Then the events are 1 to 3 and the answer is complete

  # Sound peers were left alone for a second, and new calls refused.
  Scenario: Peers whose second attempts weren't needed get the next calls
    Given an entry for resumable streams that is cut off, and 2 peers
    And the peers' endpoints are silent after 3 events, and go on 1.6 s later
    When 6 callers with a timeout of 3.9 s ask at once
    Then each gets the events 1 to 6 and a complete answer
    And the peers are not left alone

  # A sound endpoint was paused since its answers weren't waited for.
  Scenario: Endpoints whose second attempts weren't needed count as well
    Given a front for streams with 2 endpoints and 2 attempts
    And one endpoint is silent after 3 events and goes on 0.7 s later, the other is slow
    When 4 callers with a timeout of 2.9 s ask at once
    Then each gets the events 1 to 6 and a complete answer
    And the slow endpoint has no failure

  # A stream waited for an endpoint that had ended, as a refusal had used its attempts.
  Scenario: An endpoint that has ended doesn't count among the attempts
    Given a front for streams with 3 endpoints and 2 attempts
    And a stream hangs after 3 events, the next is refused, and others go on after 3
    When a caller with a timeout of 2.9 s asks, and the first endpoint ends after 0.9 s
    Then the events are 1 to 6 and the answer is complete
    And 3 endpoints were tried

  # Guards against more sends than a route allows.
  Scenario: A silent stream is sent to no more endpoints than its route allows
    Given a front for streams with 3 endpoints and 2 attempts
    And a stream is silent after 3 events and goes on a second later, and others refuse
    When a caller with a timeout of 2.9 s asks
    Then the events are 1 to 6 and the answer is complete
    And 2 endpoints were tried

  # Guards against second attempts beyond the retry budget: 12 calls add 0.14 each to it.
  Scenario: Silent streams are sent to another endpoint while the budget allows it
    Given a front for streams with 2 endpoints and 2 attempts
    And the budget of repeats allows 3 more
    And one endpoint is silent after 3 events and goes on 1 s later, the other comes later
    When 12 callers with a timeout of 2.9 s ask at once
    Then each gets the events 1 to 6 and a complete answer
    And 4 calls were sent twice

  # A second attempt that was rejected let the first one's next events look like a gap.
  Scenario: A second answer that doesn't fit changes nothing for the first one
    Given a front for resumable streams
    And a stream sends 10, 20, 30, and a second later 45 and 60, and others send 45
    When a caller with a timeout of 2.9 s asks
    Then the ids of its events are 10, 20, 30, 45, 60

  # 15 to 16 of 60 streams that had begun were cut as the others were full (LOST).
  Scenario Outline: Streams go on while a part of the endpoints stands still
    Given 2 entries with 6 endpoints, and streams of 4 s
    When <still> of the endpoints stand still for <seconds> s, and the others <others>
    Then no stream that had begun is cut

    Examples:
      | still | seconds | others       |
      | 2     | 1.0     | refuse       |
      | 3     | 1.3     | refuse       |
      | 4     | 1.2     | refuse       |
      | 4     | 1.2     | take streams |
      | 6     | 1.3     | take streams |

  # Guards against sound endpoints that are left out for long after a silence.
  Scenario: Endpoints that stood still get calls again
    Given 2 entries with 6 endpoints, and streams of 4 s
    When 2 of the endpoints stand still for 1.3 s, and the others take streams
    Then no stream that had begun is cut
    And the endpoints that stood still got calls again within 5 s

  Scenario: Streams go on while endpoints stand still again and again
    Given 2 entries with 6 endpoints, and streams of 4 s
    When 3 of the endpoints stand still for 1.1 s, 3 times, and the others refuse
    Then no stream that had begun is cut

  Scenario: Streams go on while endpoints stand still until their records have lapsed
    Given 2 entries with 6 endpoints, and streams of 4 s
    And records lapse 1 s after the last heartbeat
    When 3 of the endpoints stand still for 1.3 s, and the others refuse
    Then no stream that had begun is cut

  Scenario: Streams go on while endpoints stand still and configurations change
    Given 2 entries with 6 endpoints, and streams of 4 s
    When configurations change the time-out, the attempts, the limits and a route
    And 3 of the endpoints stand still for 1.2 s, and the others refuse
    Then no stream that had begun is cut

  # The users saw the cuts around SIGTERM.
  Scenario: Streams go on while endpoints stand still and an entry stops
    Given 2 entries with 6 endpoints, and streams of 4 s
    When an entry begins to stop
    And 3 of the endpoints stand still for 1.2 s, and the others refuse
    Then no stream that had begun is cut

  # An endpoint that never goes on is left, as before.
  Scenario: Streams go on elsewhere while an endpoint is silent for good
    Given 2 entries with 6 endpoints, and streams of 4 s
    When 1 of the endpoints stand still for 30 s, and the others take streams
    Then no stream that had begun is cut
