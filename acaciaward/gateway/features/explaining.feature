Feature: Each request that ends without success logs the reason

  Scenario Outline: A decision that ends a request is logged with its reason
    Given <front>
    And <trouble>
    When <asked>
    Then the request ends with <status>, and a line "<event>" says <field> <value>

    Examples: refused before a send
      | front                                                  | trouble                       | asked                              | status | event       | field  | value                           |
      | a front for idempotent requests                        | there is no configuration yet | a caller asks                      | 503    | refused     | reason | no configuration yet            |
      | a front for idempotent requests                        | the caller's key is unknown   | a caller asks                      | 401    | refused     | reason | unknown key                     |
      | a front for idempotent requests                        | the route was removed         | a caller asks                      | 404    | refused     | reason | no route                        |
      | a front for idempotent requests                        | all endpoints have gone       | a caller asks                      | 503    | refused     | reason | no endpoint of service          |
      | a front for idempotent requests with a quota of 1 a minute | the endpoints answer again | a caller asks 2 times              | 429    | refused     | reason | quota of org spent, 1 asked     |
      | a front for non_idempotent requests                    | the endpoints are full        | a caller asks                      | 503    | refused     | reason | all endpoints of service are full |
      | a front for non_idempotent requests with 8 endpoints   | the endpoints always die      | a caller asks 12 times             | 503    | refused     | reason | endpoints broke off under it    |

    Examples: given up after a send
      | front                                                  | trouble                       | asked                              | status | event       | field  | value                           |
      | a front for non_idempotent requests                    | the endpoints refuse, then refuse | a caller asks                  | 503    | refused     | reason | attempts used up                |
      | a front for non_idempotent requests                    | the endpoints answer unsigned | a caller asks                      | 502    | refused     | reason | unsigned answer 200             |
      | a front for non_idempotent requests                    | the endpoints always die      | a caller asks                      | 502    | refused     | verdict | may_have_run                   |
      | a front for idempotent requests                        | the budget of repeats is spent and the endpoints die | a caller asks | 502   | refused     | reason | retry budget spent              |
      | a front for non_idempotent requests                    | the endpoints hang            | a caller asks                      | 504    | refused     | reason | deadline                        |
      | a front for resumable streams                          | the endpoints stream 1 to 3 and reset, then 5 to 6 and end | a caller asks | cut | refused | begun  | True                            |
      | a front for other streams                              | the endpoints stream 1 to 3 and reset, then 4 to 6 and end | a caller asks | cut | refused | last_event | 3                          |
      | a front for non_idempotent requests                    | the endpoints hang            | a caller leaves after 0.1 s        | nothing | caller left | sends  | 1                              |

  Scenario: A request that can't be read is logged with its reason
    Given a front for idempotent requests
    When a caller sends bytes that aren't an HTTP request
    Then a line "request unreadable" says status 400

  # The caller's connection ended without an answer.
  Scenario Outline: A request with a number that is out of range is answered, and logged
    Given a front for resumable streams
    When a caller sends <header> of 5000 digits
    Then the caller gets 400
    And a line "request unreadable" says status 400

    Examples:
      | header        |
      | Last-Event-Id |
      | Token-Usage   |

  # No line told why a stream was cut: the lines of a request showed nothing of it.
  Scenario: A stream that is cut is logged with what led to it
    Given a front for resumable streams
    And the endpoints stream 1 to 3 and reset, then 4 to 5 and reset
    When a caller asks
    Then the line "answer cut" has cause attempts, sends 2, max_attempts 2, last_event 5
    And its field failed names 2 endpoints with ConnectionLostError
    And cuts are counted by the cause "attempts"
    And the cause that is explained names 2 of 2 attempts

  # Streams that were cut at the end of a stop were logged as if their callers had left.
  Scenario: Streams that the end of a stop cuts are logged as cut
    Given an entry whose endpoints take 30 s for a stream and 30 s for a call
    When the entry stops while 3 streams run, and its process ends
    Then 3 lines "answer cut" say cause stop and stopping True
    And there is no line "caller left"

  Scenario: An unresponsive endpoint is logged as silent, not as crashed
    Given a front for resumable streams
    And the endpoints hang, then answer a stream
    When a caller asks
    Then a line "attempt failed" says kind SilentError
    And there is no line "request may crash endpoints"
