Feature: The budgets of bytes and connections, and the parser, without a network

  # Each case is one way in which a crowd could win against ordinary callers.
  Scenario Outline: A full budget of 100 kB drops <dropped>
    Given a budget of 100 kB
    And holdings <held>
    When e asks for 40 kB
    Then <dropped> is dropped, and e <result>

    Examples:
      | held                                             | dropped  | result             |
      | a of x 30 kB                                     | nobody   | has room           |
      | a of x 30 kB 5 s ago, b of y 40 kB               | a        | has room           |
      | a of x 30 kB, b of y 25 kB, c of y 25 kB         | c        | has room           |
      | a of x 30 kB 5 s ago, b of x 40 kB 5 s ago       | b        | has room           |
      | a of x 40 kB running, b of y 40 kB running       | nobody   | is refused         |
      | a of z 50 kB, b of z 30 kB                       | nobody   | is refused         |
      | a of x 90 kB 5 s ago trickling                   | a        | has room           |

  # A machine whose share of memory is small must still serve a legal body.
  Scenario: Two bodies of the largest legal size fit into any budget
    Given a budget of 10 kB for bodies of at most 50 kB
    When e asks for 100 kB
    Then nobody is dropped, and e has room

  # A budget that doesn't follow the machine is too large for the smallest one.
  Scenario Outline: A machine with <memory> MB and <descriptors> descriptors
    Then its entry may hold <bytes> bytes and <connections> connections

    Examples:
      | memory | descriptors | bytes     | connections |
      | 160    | 1638        | 33554432  | 719         |
      | 552    | 10250       | 115762790 | 5025        |
      | 20     | 210         | 8388608   | 16          |
      | none   | 1638        | 107374182 | 719         |

  # Bytes that are counted wrongly would fill the budget for good.
  Scenario: Random holdings that come, grow and go leave an empty budget
    Then 20,000 random steps keep the budget's bounds, and leave nothing held

  Scenario Outline: A connection over the limit of 4 closes <closed>
    Given connections <open>
    When e of <sender> connects
    Then the closed connection is <closed>

    Examples:
      | open                                          | sender | closed |
      | a of x, b of x, c of x                        | y      | nobody |
      | a of x, b of x, c of x, d of y                | z      | a      |
      | a of x active, b of x, c of x, d of y         | z      | b      |
      | a of x busy, b of x, c of y, d of z           | w      | b      |
      | a of x busy, b of x busy, c of y busy, d of y busy | z | e      |

  # The parser stands before h11: what it passes on must mean the same.
  Scenario: Requests mean the same with and without the joining of chunks
    Then 3,000 random inputs in random pieces give the events that h11 gives

  Scenario: Tiny chunks that arrive together are one event
    Then 10,000 chunks of 2 bytes give one event with 20,000 bytes
