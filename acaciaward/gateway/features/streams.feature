Feature: Events of a stream arrive once and in order, and a partial stream looks partial

  Scenario: A complete stream is forwarded
    Given a front for resumable streams
    And the endpoints stream 1 to 5 and end
    When a caller asks
    Then the events are 1 to 5 and the answer is complete

  Scenario: A stream whose connection is lost continues at another endpoint
    Given a front for resumable streams
    And the endpoints stream 1 to 3 and reset, then 4 to 6 and end
    When a caller asks
    Then the events are 1 to 6 and the answer is complete
    And the second request says that 3 was the last event

  Scenario: A stream that stopped inside an event continues with that event
    Given a front for resumable streams
    And the endpoints stream 1 to 3 and half an event, then 4 to 6 and end
    When a caller asks
    Then the events are 1 to 6 and the answer is complete

  Scenario: Repeated events are dropped
    Given a front for resumable streams
    And the endpoints stream 1 to 3 and reset, then 2 to 6 and end
    When a caller asks
    Then the events are 1 to 6 and the answer is complete

  Scenario: A missing event is never skipped
    Given a front for resumable streams
    And the endpoints stream 1 to 3 and reset, then 5 to 6 and end
    When a caller asks
    Then the answer is aborted and looks incomplete

  # Streams whose ids rise by more than one were broken off at their second event.
  Scenario Outline: Ids that rise by more than one are accepted
    Given a front for resumable streams
    And the endpoints send the ids <sent>
    When a caller asks
    Then the answer is complete and has the ids <ids>

    Examples:
      | sent                                   | ids            |
      | 10 20 30 and end                       | 10 20 30       |
      | 10 20 30 and reset, then 40 50 and end | 10 20 30 40 50 |
      | 10 20 and reset, then 10 20 30 and end | 10 20 30       |
      | 1 4 5 9 and end                        | 1 4 5 9        |
      | 1 4 5 9 and reset, then 12 13 and end  | 1 4 5 9 12 13  |
      | 1 4 5 and reset, then 4 5 12 and end   | 1 4 5 12       |
      | 7 and reset, then 14 21 and end        | 7 14 21        |

  Scenario Outline: An event that is missing by the stream's own ids is never skipped
    Given a front for resumable streams
    And the endpoints send the ids <sent>
    When a caller asks
    Then the answer is aborted and has the ids <ids>

    Examples:
      | sent                                   | ids         |
      | 10 20 30 and reset, then 50 60 and end | 10 20 30    |
      | 10 20 30 and reset, then 35 45 and end | 10 20 30    |
      | 10 20 30 and reset, then 40 60 and end | 10 20 30 40 |
      | 1 2 3 and reset, then 4 6 and end      | 1 2 3 4     |

  Scenario: A stream whose ids rise by more than one is taken up by its caller
    Given a front for resumable streams
    And the endpoints send the ids 20 30 and end
    When a caller asks to go on after 12
    Then the answer is complete and has the ids 20 30

  Scenario: A stream that may not resume is visibly aborted
    Given a front for other streams
    And the endpoints stream 1 to 3 and reset, then 4 to 6 and end
    When a caller asks
    Then the answer is aborted and looks incomplete
    And 1 request arrived

  Scenario: A stream that closes without its end is visibly aborted
    Given a front for other streams
    And the endpoints stream 1 to 3 and close
    When a caller asks
    Then the answer is aborted and looks incomplete

  Scenario: A stream that is lost before its first event may start elsewhere
    Given a front for resumable streams
    And the endpoints stream nothing and reset, then 1 to 6 and end
    When a caller asks
    Then the events are 1 to 6 and the answer is complete

  # A crash before the first event looked like a whole stream without events (MIXED).
  Scenario: A stream that ends with its connection before its first event isn't whole
    Given a front for other streams
    And the endpoints begin a stream without chunks and close
    When a caller asks
    Then the answer is 502 and 1 request arrived

  Scenario: A stream that ends with its connection after its last event is whole
    Given a front for other streams
    And the endpoints stream 1 to 6 without chunks and close
    When a caller asks
    Then the events are 1 to 6 and the answer is complete

  # Callers found an error's text in the middle of their stream, or it ended as complete.
  Scenario Outline: A stream isn't continued with an error
    Given a front for resumable streams
    And a stream stops after 3 events, and the next answer is <error>
    When a caller asks
    Then the answer is aborted and looks incomplete
    And 2 endpoints were tried

    Examples:
      | error                                |
      | a failure                            |
      | a failure without a length           |
      | a success of another media type      |
      | a success of another type, in chunks |
      | an event without an id               |
      | an event without an id, and an end   |
      | the head of a failure as text        |

  Scenario: A stream of which only a comment was sent isn't continued with an error
    Given a front for resumable streams
    And a stream stops after a comment, and the next answer is an event without an id
    When a caller asks
    Then the answer is aborted and looks incomplete, with nothing but a comment

  Scenario: A stream that a caller takes up doesn't go on with an error
    Given a front for resumable streams
    And each next answer is an event without an id
    When a caller asks to go on after 12
    Then the answer is 502 and 2 requests arrived

  Scenario: A stream that holds the head of another answer isn't whole
    Given a front for other streams
    And a stream without chunks goes on with the head of another answer
    When a caller asks
    Then the answer is aborted, 502 or 504

  Scenario: Comments and ends without ids are no errors
    Given a front for resumable streams
    And a stream stops after 3 events, and the next answer is comments and 4 to 6 and an end
    When a caller asks
    Then the answer is complete
    And the ids of its events are 1 to 6

  Scenario: A caller's own resume is forwarded
    Given a front for resumable streams
    And the endpoints stream 13 to 15 and end
    When a caller asks to go on after 12
    Then the events are 13 to 15 and the answer is complete

  # Streams held events of two software versions within one answer (ORDER).
  Scenario: A stream isn't continued at another software version
    Given a front for resumable streams
    And the endpoints have the versions v1 and v2
    And the endpoints stream 1 to 3 and reset, then 4 to 6 and end
    When a caller asks
    Then the answer is aborted and looks incomplete
    And 1 request arrived

  # Streams held events of two software versions over a caller's tries (ORDER).
  Scenario: A stream that no entry knows isn't taken up where two versions serve
    Given a front for resumable streams
    And the endpoints have the versions v1 and v2
    When a caller asks to go on after 12
    Then the answer is 503 and 0 requests arrived

  # The last attempt's origin wasn't kept, so a stream that broke off twice was refused.
  Scenario: A stream goes on at its version each time that it is taken up
    Given a front for resumable streams
    And the endpoints have the versions v1 and v2
    And the endpoints stream 1 to 3 and reset, then 4 to 5 and reset, then 6 and end
    When a caller asks and takes the stream up after 3 and after 5
    Then the events are 6 to 6 and the answer is complete
    And 1 endpoints were tried

  Scenario: A stream that no entry knows isn't taken up by an entry that has just started
    Given a front for resumable streams
    And the endpoints have the versions v1 and v1
    When a caller asks to go on after 12
    Then the answer is 503 with a retry delay

  # The entry's own view was taken as proof that no endpoint reports a version (ORDER).
  Scenario: A stream that no entry knows isn't taken up where a first version serves by now
    Given a front for resumable streams
    And the store lists an endpoint of v2 by now
    When a caller asks to go on after 12
    Then the answer is 503 and 0 requests arrived

  # A refusal wouldn't be needed here: the stream can have begun at this version only.
  Scenario: A stream that no entry knows is taken up where one version serves for long
    Given a front for resumable streams
    And the endpoints have the versions v1 and v1
    And 2.1 s have passed
    And the endpoints stream 13 to 15 and end
    When a caller asks to go on after 12
    Then the events are 13 to 15 and the answer is complete

  Scenario: A version that has ended a while ago counts until its streams have ended
    Given a front for resumable streams
    And the endpoints have the versions v1 and v2
    And 2.1 s have passed
    And the endpoint of v1 has ended
    When a caller asks to go on after 12
    Then the answer is 503 with a retry delay

  Scenario: A stream whose endpoint stops sending continues elsewhere
    Given a front for resumable streams
    And the endpoints stream 1 to 3 and hang, then 4 to 6 and end
    When a caller asks
    Then the events are 1 to 6 and the answer is complete

  # A byte now and then counted as an answer that goes on, until the caller's deadline.
  Scenario: A stream whose endpoint sends a byte now and then continues elsewhere
    Given a front for resumable streams
    And the endpoints stream 1 to 3 and trickle, then 4 to 6 and end
    When a caller asks
    Then the events are 1 to 6 and the answer is complete

  Scenario: A stream with a large event on a slow link isn't left
    Given a front for resumable streams
    And the endpoints stream 1 to 3 and one large event slowly
    When a caller with a timeout of 2.9 s asks
    Then the answer is complete
    And 1 endpoints were tried

  Scenario: An unresponsive endpoint is left while the objective can be met
    Given a front for resumable streams
    And the endpoints stream nothing and hang, then 1 to 6 and end
    When a caller asks
    Then the events are 1 to 6 and the answer is complete
    And it took less than 0.75 s

  Scenario: An unresponsive endpoint isn't left when the attempts are used up
    Given a front for streams with 2 endpoints and as many attempts
    And the endpoints stream 1 to 3 and hang, then 4 to 5 and end a second later
    When a caller with a timeout of 2.9 s asks
    Then the events are 1 to 6 and the answer is complete

  Scenario: An unresponsive endpoint isn't left when the retry budget is spent
    Given a front for streams with 2 endpoints and as many attempts
    And the budget of repeats is spent
    And the endpoints stream 1 to 5 and end a second later
    When a caller with a timeout of 2.9 s asks
    Then the events are 1 to 6 and the answer is complete

  Scenario: An unresponsive endpoint isn't left when there is no other
    Given a front for streams with 2 endpoints and as many attempts
    And there is one endpoint
    And the endpoints stream 1 to 5 and end a second later
    When a caller with a timeout of 2.9 s asks
    Then the events are 1 to 6 and the answer is complete

  Scenario: An unresponsive endpoint isn't tried again at once
    Given a front for streams with 3 endpoints and as many attempts
    And the endpoints stream nothing and hang, then nothing and hang, then 1 to 6 and end
    When a caller asks
    Then the events are 1 to 6 and the answer is complete
    And 3 endpoints were tried

  Scenario: An entry whose own event loop was blocked considers no endpoint unresponsive
    Given a front for resumable streams
    And the endpoints answer 1 to 6 while the event loop is blocked for 1 s
    When a caller asks
    Then the events are 1 to 6 and the answer is complete
    And 1 request arrived
