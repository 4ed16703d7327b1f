Feature: The HTTP client reports only what it can prove

  Scenario: A refused connection proves that nothing was written
    Given a port that no server listens on
    When a request is sent
    Then it fails as "ConnectFailedError" and no request arrived

  Scenario Outline: An invalid or incomplete answer is never treated as complete
    Given a server that answers with <answer>
    When a request is sent
    Then it fails as "<error>" and 1 request arrived

    Examples:
      | answer                       | error                |
      | nothing and closes           | ConnectionLostError  |
      | half a body of known length  | ConnectionLostError  |
      | a chunk without its end      | ConnectionLostError  |
      | no HTTP at all               | ConnectionLostError  |
      | silence                      | ResponseTimeoutError |

  Scenario: A request on a reused connection that closes is not repeated
    Given a server that closes a reused connection after reading the request
    When two requests are sent one after the other
    Then the second fails as "ConnectionLostError" and 2 requests arrived

  Scenario: Leaving a response early closes the connection
    Given a server that answers without end
    When the response is closed after its first chunk
    Then the server sees the connection closed

  Scenario: A caller that stops reading slows the sender (backpressure)
    Given a server that answers without end
    When the response is not read for a while
    Then the server could send less than 8000000 bytes

  # A connection that went silent while idle cost the next request a time-out.
  Scenario: A connection that has been idle for too long isn't used again
    Given a server that goes silent on connections that were idle
    When two requests are sent 0.2 s apart by a client that trusts idle ones for 0.1 s
    Then both are answered
