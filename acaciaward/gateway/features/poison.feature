Feature: A request that crashes endpoints isn't sent to all of them

  Scenario: A request is refused after it crashed three endpoints
    Given a front for non_idempotent requests with 8 endpoints
    And the endpoints always die
    When a caller asks 12 times
    Then 3 endpoints got it, and the last answer is 503 with a retry delay

  Scenario: Crashes count alike when the gateway and when the caller repeats a request
    Given a front for idempotent requests with 8 endpoints
    And the endpoints always die
    When a caller asks 12 times
    Then 3 endpoints got it, and the last answer is 503 with a retry delay

  Scenario: Other requests of the same caller are still served
    Given a front for non_idempotent requests with 8 endpoints
    And the endpoints always die
    When a caller asks 12 times
    And the endpoints answer again
    And a caller sends another body
    Then the answer is 200 with the body "done"

  Scenario: A request that was served before isn't suspected
    Given a front for non_idempotent requests with 8 endpoints
    And the endpoints answer again
    And a caller asks once
    When the endpoints always die
    And a caller asks 12 times
    Then more than 3 endpoints got it

  # Streams that ran beside requests which crashed three endpoints were refused (LOST).
  Scenario: A stream that went on for long isn't suspected of its endpoint's crash
    Given a front for other streams with 8 endpoints
    And the endpoints always stream 1 to 3 and reset a while later
    When a caller asks 6 times
    Then more than 3 endpoints got it

  Scenario: A connection lost to a leaving endpoint isn't counted as a crash
    Given a front for non_idempotent requests with 8 endpoints
    And the endpoints say that they leave, and die
    When a caller asks 8 times
    Then more than 3 endpoints got it
