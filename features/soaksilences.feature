Feature: The soak sees whether streams outlive the silence of sound servers

  # Users saw streams cut as servers stood still for a second; no soak had that fault.
  Scenario: A build that leaves silent servers for others that refuse is caught
    When a soak with seed 1, 3 entries and the plant hasty has the fault stand_still often for 36 s
    Then the promise LOST was broken

  # A check that holds for faults of servers and entries, too, would be put down to load.
  Scenario Outline: A stream that is cut counts only if its servers and entries were sound
    Given a stream that was sent to a server 5 s ago and was cut after <after> s
    And <what> that had <disturbance> <when> s after it was sent
    When the soak judges what callers got
    Then the stream <verdict> as lost

    Examples:
      | after | what         | disturbance | when | verdict       |
      | 1.5   | nothing      | no fault    | 1.0  | counts        |
      | 1.5   | its entry    | a stop      | 1.0  | counts        |
      | 1.5   | its entry    | an end      | 1.0  | doesn't count |
      | 1.5   | its entry    | a fault     | 1.0  | doesn't count |
      | 1.5   | its entry    | a fault     | -2.0 | doesn't count |
      | 1.5   | its entry    | a fault     | 2.0  | counts        |
      | 1.5   | the peer     | a fault     | 1.0  | doesn't count |
      | 1.5   | another peer | a fault     | 1.0  | counts        |
      | 1.5   | its server   | a fault     | 1.0  | doesn't count |
      | 1.5   | its server   | an end      | 1.0  | doesn't count |
      | 1.5   | the store    | a fault     | 1.0  | counts        |
      | 2.9   | nothing      | no fault    | 1.0  | doesn't count |

  # A stream that went through a peer was judged lost by a stop, as the peer was killed.
  Scenario Outline: A stream that is cut in a stop counts only if its peer was sound
    Given a stream that was sent to a server 5 s ago and was cut after 1.5 s
    And <what> that had <disturbance> 1 s after it was sent
    When the soak judges a stop of its entry 0.5 s after it was sent
    Then the stream <verdict> as lost

    Examples:
      | what         | disturbance | verdict       |
      | nothing      | no fault    | counts        |
      | the peer     | a fault     | doesn't count |
      | the peer     | an end      | doesn't count |
      | the peer     | a stop      | counts        |
      | another peer | a fault     | counts        |
