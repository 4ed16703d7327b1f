Feature: A request is forwarded unmodified and gets its own answer

  Scenario: The gateway's own headers replace those of a caller
    Given a front for idempotent requests
    When a caller sends the forged headers
    Then the endpoint gets the organisation, instance and deadline that the gateway sets
    And the endpoint gets neither the key nor the forged headers

  Scenario: A body that holds another request stays a body
    Given a front for idempotent requests
    When a caller sends a body that looks like a request
    Then exactly one request arrives, with that body

  Scenario: A caller's chunks arrive as one body
    Given a front for idempotent requests
    When a caller sends its body in chunks
    Then exactly one request arrives, with the body "hello world"

  Scenario: A request that may not be repeated is sent once when its answer is lost
    Given a front for non_idempotent requests
    And the endpoints die, then answer
    When a caller asks
    Then the answer is 502 and 1 request arrived

  Scenario: An idempotent request whose answer is lost is sent again
    Given a front for idempotent requests
    And the endpoints die, then answer
    When a caller asks
    Then the answer is 200 and 2 requests arrived

  Scenario: A call that may run only once is sent elsewhere after an endpoint refused it
    Given a front for non_idempotent requests
    And the endpoints refuse, then answer
    When a caller asks
    Then the answer is 200 and 2 requests arrived

  # Guards against requests to an endpoint that has asked this entry to back off.
  Scenario Outline: An endpoint that refuses names how long it wants no requests
    Given a front for non_idempotent requests with 1 endpoints
    And all refuse with the line "<line>"
    When a caller asks 2 times
    Then both answers are 503
    And <count> request arrived

    Examples:
      | line                                       | count |
      | Retry-After: 3                             | 1     |
      | retry-after: 0.75                          | 1     |
      | Retry-After: 1e12                          | 1     |
      | Retry-After: 0                             | 2     |
      | Retry-After: -3                            | 2     |
      | Retry-After: soon                          | 2     |
      | Retry-After: inf                           | 2     |
      | Retry-After: Fri, 04 Dec 2026 21:00:00 GMT | 2     |

  # Guards against requests during the back-off that a failure asks for.
  Scenario: A call that may have run is not repeated, and its endpoint is left alone all the same
    Given a front for non_idempotent requests with 1 endpoints
    And all answer 503 without a promise, with the line "Retry-After: 3"
    When a caller asks 2 times
    Then 1 request arrived

  # Guards against sends, once a connection stands, to an endpoint that has refused others
  # meanwhile.
  Scenario: A call isn't sent to an endpoint that asks to back off while it is connected to
    Given a front for non_idempotent requests
    When a caller asks while the endpoint that is connected to asks to back off
    Then the answer is 200 and 1 request arrived
    And the endpoint that leaves got nothing

  Scenario: A call refused by all endpoints is refused with a retry delay
    Given a front for non_idempotent requests
    And the endpoints refuse, then refuse
    When a caller asks
    Then the answer is 503 with a retry delay

  Scenario: An answer without a signature isn't forwarded
    Given a front for non_idempotent requests
    And the endpoints answer unsigned
    When a caller asks
    Then the answer is 502 and 1 request arrived

  # Guards against sends, once a connection stands, to an endpoint that has said meanwhile
  # that it leaves.
  Scenario: A call isn't sent to an endpoint that leaves while it is connected to
    Given a front for non_idempotent requests
    When a caller asks while the endpoint that is connected to says that it leaves
    Then the answer is 200 and 1 request arrived
    And the endpoint that leaves got nothing

  Scenario: Bytes after an answer are discarded
    Given a front for idempotent requests
    And the endpoints answer twice, then answer
    When a caller asks 2 times
    Then each answer is complete and the request's own
    And no connection was used after the extra bytes

  Scenario: An answer to another request is skipped
    Given a front for non_idempotent requests
    And the endpoints answer another request first
    When a caller asks
    Then the answer is 200 with the body "mine"

  # Guards against calls that run on more endpoints than their route allows, as those whose
  # records have gone count as ended.
  Scenario: A call runs on no more endpoints than allowed when their records go
    Given a front for idempotent requests with 6 endpoints
    And the endpoints fail with 500, and their records go
    When a caller asks
    Then 3 requests arrived at endpoints

  # What an endpoint said of itself was passed over where it answered another request.
  Scenario Outline: An answer to another request tells of its endpoint all the same
    Given a front for non_idempotent requests
    And the endpoints answer another request first, <saying>
    When a caller asks
    Then the answer is 200 with the body "mine"
    And the endpoint that was asked gets no more calls

    Examples:
      | saying                            |
      | saying that they leave            |
      | refusing it for 3 s               |

  # A non-idempotent call ran twice: a refusal written once more was taken for its answer.
  Scenario Outline: A refusal that is written once more answers no other call
    Given a front for non_idempotent requests
    And all answer, and before the next answer write a refusal that <names>
    When a caller sends 6 calls that it names
    Then no call was refused and each arrived once

    Examples:
      | names               |
      | names an earlier call |
      | names no call         |

  Scenario: A connection isn't kept after an answer that names no call
    Given a front for non_idempotent requests with 1 endpoints
    And all answer without naming the call
    When a caller asks 2 times
    Then the answers are 200 200
    And 2 requests arrived on 2 connections

  # Callers got a 200 with an empty body, framed as whole.
  Scenario Outline: A success that ends with its connection before its body isn't whole
    Given a front for <kind> requests
    And all begin an answer without a length and close
    When a caller asks
    Then the answer is 502 and <count> requests arrived

    Examples:
      | kind           | count |
      | non_idempotent | 1     |
      | idempotent     | 2     |

  Scenario: A success that has no body by its status is whole
    Given a front for non_idempotent requests
    And all answer 204 without a length
    When a caller asks
    Then the answer is 204 and 1 request arrived

  Scenario: An answer without a length ends with its connection
    Given a front for idempotent requests
    And the endpoints answer without a length
    When a caller asks
    Then the answer is 200 with the body "unframed"

  Scenario: An answer without a length that is reset is incomplete
    Given a front for non_idempotent requests
    And the endpoints reset an answer without a length
    When a caller asks
    Then the answer is 502 and 1 request arrived

  Scenario: An idempotent request leaves an unresponsive endpoint in time
    Given a front for idempotent requests
    And the endpoints hang, then answer
    When a caller asks
    Then the answer is 200 within 0.6 s

  Scenario: A call that reaches its deadline is answered in time
    Given a front for non_idempotent requests
    And the endpoints hang
    When a caller asks
    Then the answer is 504 within 1.6 s

  Scenario: A caller that disconnects cancels the call at the endpoint
    Given a front for non_idempotent requests
    And the endpoints hang
    When a caller leaves after 0.1 s
    Then the endpoint's connection closes within 0.3 s

  Scenario: An unknown key and an unknown route are refused at once
    Given a front for idempotent requests
    Then an unknown key gets 401 and an unknown path 404

  Scenario: The quota charge of a call that never ran is refunded
    Given a front for non_idempotent requests with a quota of 1 a minute
    And the endpoints refuse, then refuse
    When a caller asks 2 times
    Then both answers are 503

  Scenario: A refusal beyond the quota has a retry delay
    Given a front for idempotent requests with a quota of 1 a minute
    When a caller asks 2 times
    Then the second answer is 429 with a retry delay

  Scenario: A connection on which an endpoint refused is used again
    Given a front for non_idempotent requests with 1 endpoints
    And the endpoints refuse, then answer
    When a caller asks 2 times
    Then 2 requests arrived on 1 connection

  Scenario: The gateway learns after which idle time endpoints drop connections
    Given a front for non_idempotent requests with 1 endpoints
    And the endpoints drop connections that were idle for 0.7 s
    When a caller asks 4 times, 0.8 s apart
    Then the answers are 200 502 200 200

  Scenario: Idempotent requests keep using connections that may have been dropped
    Given a front for idempotent requests with 2 endpoints
    And the endpoints drop connections that were idle for 0.7 s
    When a caller asks 4 times, 0.8 s apart
    Then the answers are 200 200 200 200

  Scenario: Unless some were dropped, connections are reused for the stated keep-alive time
    Given a front for non_idempotent requests with 1 endpoints
    And the endpoints keep connections for 10 s
    When a caller asks 2 times, 4.2 s apart
    Then 2 requests arrived on 1 connection

  Scenario: An endpoint that answers other calls isn't paused because of one without answer
    Given a front for idempotent requests
    And the endpoints hang, then answer
    When a caller asks
    Then no endpoint is paused
