Feature: The path from caller to engine, with separate processes

  Scenario: An answer stays complete when its engine is killed
    Given 3 entries, 3 engines and 2 services, with every engine behind a fault proxy
    When a caller streams an answer of 200 tokens
    And the engine that serves it is killed after 20 tokens
    Then the answer is complete and correct
    And the stream moved at least once

  Scenario: A patch is in force at every entry and serves a new organisation
    Given 3 entries, 2 engines and 2 services, with every engine behind a fault proxy
    When an operator adds the organisation "library"
    Then "library" gets a complete answer from every entry

  Scenario: Invalid input gets a clear error and the connection stays usable
    Given 1 entries, 1 engines and 1 services, with every engine behind a fault proxy
    When a caller sends each kind of invalid input on one connection
    Then each is refused as "not_run" with the expected code
    And a good request on the same connection is answered
