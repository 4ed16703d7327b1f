Feature: An answer is clearly either the endpoint's or the gateway's own

  Scenario Outline: An endpoint's own failure is forwarded with its status and signature
    Given a front for non_idempotent requests
    And the endpoints answer with status <status>
    When a caller asks
    Then the answer is <status> with the endpoint's signature and body

    Examples:
      | status |
      | 400    |
      | 404    |
      | 500    |
      | 504    |

  # Callers sent calls again that had run, as the status promised that they hadn't (REFUSED).
  Scenario Outline: A status that promises "not run" isn't forwarded unless the endpoint says so
    Given a front for <kind>
    And the endpoints answer with status <status>
    When a caller asks
    Then the answer is 502 and 1 request arrived
    And the answer is 502, and it is the gateway's own

    Examples:
      | kind                    | status |
      | non_idempotent requests | 408    |
      | non_idempotent requests | 421    |
      | non_idempotent requests | 429    |
      | non_idempotent requests | 503    |
      | other streams           | 503    |

  # Guards against a call that is refused for minutes, as if endpoints crashed under it.
  Scenario: Endpoints that answer with such a status aren't taken for crashed
    Given a front for non_idempotent requests with 5 endpoints
    And the endpoints answer with status 503
    When a caller asks 5 times
    Then each answer is 502
    And 5 requests arrived at endpoints

  Scenario Outline: A call that may run again gets whatever status its endpoint gave
    Given a front for <kind>
    And the endpoints answer with status <status>
    When a caller asks
    Then the answer is <status> with the endpoint's signature and body

    Examples:
      | kind                | status |
      | idempotent requests | 408    |
      | idempotent requests | 421    |
      | idempotent requests | 429    |
      | idempotent requests | 503    |
      | resumable streams   | 503    |

  Scenario Outline: An answer without the endpoint's signature isn't forwarded
    Given a front for non_idempotent requests
    And the endpoints answer <status> unsigned
    When a caller asks
    Then the answer is 502, and it is the gateway's own

    Examples:
      | status |
      | 200    |
      | 404    |
      | 500    |
      | 503    |

  Scenario: Hop-by-hop headers of the endpoint's connection aren't forwarded
    Given a front for idempotent requests
    And the endpoints send hop-by-hop headers
    When a caller asks
    Then the answer is 200 with the body "done"
    And the caller gets no hop-by-hop header of the endpoint

  Scenario: An answer with two content lengths isn't forwarded
    Given a front for non_idempotent requests
    And the endpoints send two content lengths
    When a caller asks
    Then the answer is 502, and it is the gateway's own

  Scenario: An answer truncated inside its body isn't forwarded
    Given a front for non_idempotent requests
    And the endpoints truncate an answer of known length
    When a caller asks
    Then the answer is 502, and it is the gateway's own

  Scenario: Bytes that aren't an HTTP answer aren't forwarded
    Given a front for non_idempotent requests
    And the endpoints send bytes that aren't an HTTP answer
    When a caller asks
    Then the answer is 502, and it is the gateway's own

  Scenario: A connection isn't reused after an answer that came before the body was read
    Given a front for non_idempotent requests with 1 endpoints
    And the endpoints answer before they read the body
    When a caller sends a body of 4000000 bytes
    And a caller asks
    Then the answer is 200 with the body "done"
    And 2 requests arrived on 2 connections

  # Bytes without end filled the memory until the caller's deadline.
  Scenario Outline: An answer without end is left before it fills the memory
    Given a front for <kind>
    And the endpoints send <part> without end
    When a caller asks
    Then the answer is aborted, 502 or 504
    And the endpoint could send less than 16000000 bytes

    Examples:
      | kind                                     | part                |
      | non_idempotent requests with 1 endpoints | a head              |
      | non_idempotent requests with 1 endpoints | interim answers     |
      | non_idempotent requests with 1 endpoints | a body of no length |
      | non_idempotent requests with 1 endpoints | a body in chunks    |
      | other streams                            | a head              |
      | other streams                            | an event            |

  # An event without end was searched from its start again with each part that came.
  Scenario: Splitting an event without end keeps up with a fast link
    When 4000000 bytes of an event arrive in parts of 65536 bytes
    Then they were split in less time than a link of 100 Mbit/s takes to carry them
