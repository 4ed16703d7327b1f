Feature: An answer's head is the endpoint's own, or clearly the system's

  Scenario Outline: An endpoint's own failure is passed on with its status and signature
    Given a front for non_idempotent requests
    And the endpoints answer with status <status>
    When a caller asks
    Then the answer is <status> with the endpoint's signature and body

    Examples:
      | status |
      | 400    |
      | 404    |
      | 429    |
      | 500    |
      | 503    |
      | 504    |

  Scenario Outline: A status without the endpoint's signature is not taken for its answer
    Given a front for non_idempotent requests
    And the endpoints answer <status> unsigned
    When a caller asks
    Then the answer is 502, and the system's own

    Examples:
      | status |
      | 200    |
      | 404    |
      | 500    |
      | 503    |

  Scenario: Headers that concern the endpoint's connection stay there
    Given a front for idempotent requests
    And the endpoints name headers of their connection
    When a caller asks
    Then the answer is 200 with the body "done"
    And the caller gets no header of the endpoint's connection

  Scenario: A second signature or length doesn't make an answer another one
    Given a front for non_idempotent requests
    And the endpoints send two lengths
    When a caller asks
    Then the answer is 502, and the system's own

  Scenario: An answer cut inside its body is none
    Given a front for non_idempotent requests
    And the endpoints cut an answer with a length
    When a caller asks
    Then the answer is 502, and the system's own

  Scenario: Bytes that are no answer are none
    Given a front for non_idempotent requests
    And the endpoints send bytes that are no answer
    When a caller asks
    Then the answer is 502, and the system's own

  Scenario: An answer that comes before the body is read ends the connection's use
    Given a front for non_idempotent requests with 1 endpoints
    And the endpoints answer before they read the body
    When a caller sends a body of 4000000 bytes
    And a caller asks
    Then the answer is 200 with the body "done"
    And 2 requests arrived on 2 connections
