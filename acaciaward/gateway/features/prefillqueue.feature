Feature: Patient calls wait at the entry while engines have enough to read

  Background:
    Given 8 engines of a service with an urgent and a patient route

  Scenario: Calls of services without patient routes never wait
    Given the service has routes of similar objectives only
    When engines have 900000 tokens each to read
    Then a patient call goes on at once

  Scenario Outline: Only patient calls that haven't begun wait
    When engines have <tokens> tokens each to read
    Then <call> goes on at once

    Examples:
      | tokens | call                          |
      | 0      | a patient call                |
      | 200000 | an urgent call                |
      | 200000 | a patient call that may have run |
      | 200000 | a resumed patient call        |
      | 200000 | a patient call without prompt |

  Scenario: A waiting call is sent as soon as engines have read enough
    When engines have 120000 tokens each to read
    And a patient call waits
    And engines have 0 tokens each to read
    Then the call goes on within 0.2 s
    And nothing is counted as waiting

  Scenario: Calls that can be on time go first, by the time left, then the late ones
    When engines have 120000 tokens each to read
    And patient calls wait that came 3.0, 0.1, 1.0 and 2.7 s ago
    And engines have 0 tokens each to read
    Then they go on in the order 1.0, 0.1, 3.0 and 2.7

  Scenario: A caller that leaves frees the queue at once
    When engines have 120000 tokens each to read
    And patient calls wait that came 1.0, 0.1 s ago
    And the caller of the first one leaves
    Then only the tokens of the other are counted as waiting
    When engines have 0 tokens each to read
    Then the others go on within 0.2 s

  Scenario: A call whose turn comes too late is refused at once
    When engines have 900000 tokens each to read
    Then 50 patient calls are refused at once, with retry delays spread over 0.6 s or more
    And callers that come back then have more than two thirds of their time left
    And at most 1 line is logged about them

  Scenario: With too few endpoints to divide, calls neither wait nor are refused here
    When 3 of the engines are left
    And engines have 900000 tokens each to read
    Then a patient call goes on at once

  Scenario: In a roll-out, what waits for other versions refuses no call
    When prompts of 40000000 tokens wait at other entries
    And engines have 120000 tokens each to read
    And a patient call waits that may go to one version only
    And engines have 0 tokens each to read
    And the other entries' prompts are sent
    Then the call goes on within 0.2 s

  Scenario: After half of its time a call goes on, to be sent or refused
    Then a patient call with 0.6 s left and an objective of 0.3 s goes on after 0.2 to 0.45 s

  Scenario: When the entry closes, waiting calls are refused at once
    When engines have 120000 tokens each to read
    And a patient call waits
    And the entry closes
    Then the call is refused within 0.5 s, and may be sent elsewhere after 0.05 s

  Scenario: A configuration without patient routes lets waiting calls go
    When engines have 120000 tokens each to read
    And a patient call waits
    And a configuration comes with routes of similar objectives only
    Then the call goes on within 0.2 s

  Scenario: When all endpoints are lost, waiting calls go on to be refused
    When engines have 120000 tokens each to read
    And a patient call waits
    And all endpoints are lost
    Then the call goes on within 0.2 s

  Scenario Outline: An urgent call that would begin far too late is refused
    When engines have <tokens> tokens each to read
    Then the choice for <call> is: <result>

    Examples:
      | tokens | call                            | result  |
      | 30000  | an urgent call                  | sent    |
      | 60000  | an urgent call                  | refused |
      | 60000  | a patient call                  | sent    |
      | 60000  | a resumed urgent call           | sent    |
      | 60000  | an urgent call that may have run | sent    |

  Scenario: Calls of services without patient routes aren't refused for their objective
    Given the service has routes of similar objectives only
    When engines have 180000 tokens each to read
    Then the choice for a patient call is: sent
