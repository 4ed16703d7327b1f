Feature: The fault proxy cuts off single peers by their addresses

  Scenario Outline: One peer is cut off from a server, the other isn't
    Given an echo server behind a fault proxy, with connections from 127.0.1.1 and 127.0.1.2
    When 127.0.1.1 is cut off by <cut>
    Then its open connection <open>
    And a new connection of 127.0.1.1 <new>
    And open and new connections of 127.0.1.2 carry data
    And once the cut is over, new connections of 127.0.1.1 carry data

    Examples:
      | cut    | open         | new          |
      | hang   | hangs        | hangs        |
      | reset  | is reset     | is reset     |
      | refuse | carries data | is reset     |

  Scenario: What a hanging connection held up arrives when the cut is over
    Given an echo server behind a fault proxy, with connections from 127.0.1.1 and 127.0.1.2
    When 127.0.1.1 is cut off by hang
    Then its open connection hangs
    And once the cut is over, its open connection brings what it held up
