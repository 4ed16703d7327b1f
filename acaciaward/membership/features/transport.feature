Feature: Malformed or unauthorised messages do no harm

  Scenario: Only peers with an allowed key are answered
    Given an entry with CURVE that allows one peer
    Then the allowed peer is answered
    And a peer with another key is not answered and its handshake is counted
    And a peer without encryption is not answered
    And the peer with the other key is answered once that key is allowed

  Scenario: Corrupted, truncated and extended messages are dropped and counted
    Given an entry without encryption
    When 400 mutated messages of all kinds are sent to it
    Then each that was not answered is counted and a valid request is answered

  Scenario: A message beyond the size limit is dropped and counted
    Given an entry without encryption
    When a message just over the limit is sent to it
    Then it is counted as dropped and a valid request is answered

  Scenario: A failing handler affects only its own request
    Given an entry without encryption
    When a handler fails on a request
    Then it is counted as dropped and a valid request is answered

  Scenario: One peer can't use up all handlers
    Given an entry without encryption
    When one peer has 300 requests pending
    Then a valid request of another peer is answered

  # Entries took each other for dead for half a minute, and refused below the quotas.
  Scenario: A connection to a peer that has gone silent is replaced within 2 s
    Given an entry without encryption
    When the connection of a peer to it goes silent for good
    Then the peer is answered again within 2 s
    And the lost connection is counted

  # Most connections lost at kills were counted, but never logged.
  Scenario: Connections lost soon after one another are all logged
    When 3 messages to a peer are dropped, and 2 more after 0.2 s
    Then log lines tell of 5 within 1.5 s, in 2 lines at most

  Scenario: Mutated messages between entries are decoded or refused
    Then mutated frames of every kind raise nothing but a wire error

  Scenario: Gossip with arbitrary content does no harm
    Then any peers and hints that decode are accepted or dropped, and hints stay bounded

  Scenario: Hints are found by subject, expire, and never keep newer ones out
    Then a full hint table accepts new hints and drops what expires first
    And expired hints are removed completely

  # Another entry, or a record in the store, says where a peer listens: an odd address
  # ended the task that probes all peers, each time its turn came.
  Scenario: Peers at what is no address are counted as unreachable
    Given an entry without encryption
    Then peers at odd addresses are unreachable and counted
    And a valid request is answered

  Scenario: Peers with what is no key are counted as unreachable
    Given an entry with CURVE that allows one peer
    Then peers with odd keys are unreachable and counted
