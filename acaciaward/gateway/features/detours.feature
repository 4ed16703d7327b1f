Feature: An entry that reaches no endpoint sends calls through its peers

  # Entries that were cut off answered 503 to every call of 12 s (RECOVER).
  Scenario: A call gets the endpoint's answer through a peer
    Given an entry for non_idempotent requests that is cut off, and 2 peers
    When a caller asks
    Then the answer is 200 with the body "done"
    And the endpoint's signature is passed on, and nothing that entries tell each other
    And 1 request has arrived, without key and with the organisation

  # Guards against work after a cut for an endpoint that said in it that it leaves.
  Scenario: An entry learns through a peer that an endpoint leaves
    Given an entry for non_idempotent requests that is cut off, and 2 peers
    And all endpoints answer that they leave
    When a caller asks
    Then the answer is 200 with the body "done"
    And the entry knows that 1 endpoint leaves

  # Guards against an endpoint's status that promises "not run" and comes through a peer.
  Scenario: A refusal that an endpoint doesn't state isn't one through a peer
    Given an entry for non_idempotent requests that is cut off, and 2 peers
    And all endpoints answer 503 after they have run a call
    When a caller asks
    Then the answer is 502, and it is the gateway's own
    And 1 request has arrived

  Scenario: An entry that reaches endpoints sends nothing through its peers
    Given an entry for non_idempotent requests that reaches endpoints, and 2 peers
    When a caller asks
    Then the answer is 200 with the body "done"
    And no call has come to a peer

  Scenario: After a cut, calls go to endpoints again
    Given an entry for non_idempotent requests that is cut off, and 2 peers
    When a caller asks
    And the entry reaches an endpoint again
    And a caller asks
    Then 1 call has come to the peers

  # Each call tried 13 endpoints in turn before it was refused.
  Scenario: A call goes through a peer after a few failed connections
    Given an entry for non_idempotent requests whose 6 endpoints are gone, and 2 peers
    When a caller asks
    Then the answer is 200 with the body "done"
    And 3 connections to endpoints were tried

  # Each call tried three endpoints that had ended, here and at a peer, so that streams
  # of a version that has no endpoint left were refused late.
  Scenario: Endpoints that took no connection aren't tried by each call anew
    Given an entry for non_idempotent requests whose 6 endpoints are gone, and 2 peers
    When a caller asks 6 times
    Then each answer is 200
    And at most 10 connections to endpoints were tried

  Scenario: Calls are refused at once when no peer reaches the endpoints either
    Given an entry for non_idempotent requests whose 6 endpoints are gone, and 2 peers
    And the peers' endpoints are gone, too
    When a caller asks 6 times
    Then each answer is 503
    And at most 6 connections to endpoints were tried
    And 2 calls have come to the peers

  Scenario: An endpoint that is new is tried although the others weren't reached
    Given an entry for non_idempotent requests whose 6 endpoints are gone, and 2 peers
    And the peers' endpoints are gone, too
    When a caller asks 3 times
    And an endpoint is added
    And a caller asks
    Then the answer is 200 with the body "done"

  Scenario: A peer that is cut off too is left alone for another one
    Given an entry for non_idempotent requests that is cut off, and 2 peers
    And one peer is cut off too
    When a caller asks 6 times
    Then each answer is 200
    And at most 1 call has come to the peer that is cut off

  # Two entries that are cut off must not send a call to each other in turn.
  Scenario: Where all entries are cut off, calls are refused at once
    Given an entry for non_idempotent requests that is cut off, and 2 peers
    And all peers are cut off too
    When a caller asks
    Then the answer is 503 with a retry delay
    And it came within 0.3 s
    And at most 2 calls have come to the peers, and none back

  Scenario: An entry that peers say is isolated gets no calls
    Given an entry for non_idempotent requests that is cut off, and 2 peers
    And all peers are known to be isolated
    When a caller asks
    Then the answer is 503 with a retry delay
    And no call has come to a peer

  Scenario: A peer's refusal is the caller's, with its retry delay
    Given an entry for non_idempotent requests that is cut off, and 2 peers
    And the peers' endpoints refuse
    When a caller asks
    Then the answer is 503 with a retry delay
    And 1 call has come to the peers

  # What a caller says must not look like what entries tell each other.
  Scenario: A forged detour of a caller has no effect
    Given an entry for idempotent requests that reaches endpoints, and 2 peers
    And a quota of 1 a minute
    When a caller asks 2 times with a forged detour
    Then the answers are 200 429
    And the endpoint gets nothing of the detour

  Scenario: A forged detour isn't passed to peers
    Given an entry for idempotent requests that is cut off, and 2 peers
    When a caller asks with a forged detour
    Then the answer is 200 with the body "done"
    And the peer gets the entry's detour alone

  # A call that was written to a peer may have run (TWICE).
  Scenario: A call that may run only once isn't sent again after its peer is lost
    Given an entry for non_idempotent requests that is cut off, and 2 peers that die
    When a caller asks
    Then the answer is a 502
    And 1 call has come to the peers

  Scenario: An idempotent call goes through another peer after its peer is lost
    Given an entry for idempotent requests that is cut off, and 2 peers that die
    When a caller asks
    Then the answer is a 502
    And 2 calls have come to the peers

  Scenario: A call is sent to no more endpoints than its route allows
    Given an entry for idempotent requests that is cut off, and 2 peers
    And the peers' endpoints always die
    When a caller asks
    Then the answer is a 502
    And 2 requests have arrived

  Scenario: A call that may run only once isn't sent again after an endpoint was lost
    Given an entry for non_idempotent requests that is cut off, and 2 peers
    And the peers' endpoints always die
    When a caller asks
    Then the answer is a 502
    And 1 request has arrived

  Scenario: Quota and usage are counted once, where the call came from its caller
    Given an entry for idempotent requests that is cut off, and 2 peers
    And a quota of 1 a minute
    When a caller asks 2 times
    Then the answers are 200 429
    And the entry has counted 1 use and its peers none

  Scenario: A stream goes on through a peer with each event once
    Given an entry for resumable streams that is cut off, and 2 peers
    And the peers' endpoints stream 1 to 3 and reset, then 4 to 6 and end
    When a caller asks
    Then the events are 1 to 6 and the answer is complete
    And the second request to have arrived says that 3 was the last event
    And 2 calls have come to the peers

  # Callers found an error's text in the middle of their stream.
  Scenario Outline: A stream that began through a peer isn't continued with an error
    Given an entry for resumable streams that is cut off, and 2 peers
    And the peers' endpoints stream 1 to 3, then each answers with <error>
    When a caller asks
    Then the answer is aborted and looks incomplete

    Examples:
      | error                           |
      | a failure                       |
      | a success of another media type |
      | an event without an id          |
      | the head of a failure as text   |

  # A peer with another configuration joined streams of two services in one answer (ORDER).
  Scenario: A peer whose route leads elsewhere doesn't run a call
    Given an entry for resumable streams that is cut off, and 2 peers
    And the peers' routes lead to another service
    When a caller asks
    Then the answer is 503 with a retry delay
    And 0 requests have arrived

  # A stream that began through a peer may go on only at its version (ORDER).
  Scenario: After a cut, a stream goes on at the version that began it
    Given an entry for resumable streams that is cut off, and 2 peers
    And the peers' endpoints have the version v2, and the entry's v1 and v2
    And the peers' endpoints stream 1 to 3, and the entry reaches endpoints before they reset
    When a caller asks
    Then the events are 1 to 6 and the answer is complete
    And the entry's endpoint of version v2 has sent the rest

  Scenario: A caller that leaves cancels the call at the peer's endpoint
    Given an entry for non_idempotent requests that is cut off, and 2 peers
    And the peers' endpoints hang
    When a caller leaves the entry after 0.2 s
    Then the connection to the peer's endpoint closes within 0.3 s

  # Each of them was broken off once it had data half a second after its answer began.
  Scenario: A stream through a peer goes on for longer than a crash early in it takes
    Given an entry for resumable streams that is cut off, and 2 peers
    And the peers' endpoints stream 1 to 5 and end a second later
    When a caller asks
    Then the events are 1 to 6 and the answer is complete
