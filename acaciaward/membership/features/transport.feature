Feature: Messages from outside harm nothing

  Scenario: Only peers with an allowed key are heard
    Given an entry with CURVE that allows one peer
    Then the allowed peer is answered
    And a peer with another key is not answered and its handshake is counted
    And a peer without encryption is not answered
    And the other key is answered once it is allowed

  Scenario: Garbled, doubled and oversized messages are dropped and counted
    Given an entry without encryption
    When 400 mutated messages of every kind are sent to it
    Then each that was not answered is counted and a sound request is answered

  Scenario: A message beyond the size limit is dropped and counted
    Given an entry without encryption
    When a message just over the limit is sent to it
    Then it is counted and a sound request is answered

  Scenario: A handler that fails loses only its own request
    Given an entry without encryption
    When a handler fails on a request
    Then it is counted and a sound request is answered

  Scenario: One peer can't use up the room of all
    Given an entry without encryption
    When one peer leaves 300 requests waiting
    Then a sound request of another peer is answered

  Scenario: Every decoder of messages between entries refuses or understands
    Then mutated frames of every kind raise nothing but a wire error

  Scenario: Gossip of any content harms nothing
    Then any peers and hints that decode are taken or dropped, and hints stay bounded

  Scenario: Hints are found by subject, expire, and never block newer ones
    Then a full board takes new hints and drops what expires first
    And expired hints leave no trace
