Feature: Clients that nobody controls neither end nor hang a process

  # One entry on a machine of 96 MB and 400 descriptors; bodies may have 1 MiB. 120
  # connections took more memory than that. One crowd runs at a time.
  Scenario Outline: A crowd sends <what> to <listener>
    Given an entry on a small machine
    When 120 clients send <what> to <listener> and stay
    Then an ordinary request is answered
    And the entry lives, with at most 96 MB resident and 400 descriptors open

    Examples:
      | what                                      | listener           |
      | bodies that stop one byte short           | Frontend           |
      | bodies that stop one byte short           | Frontend, no route |
      | bodies that stop one byte short           | Directory          |
      | bodies that stop one byte short           | Readiness          |
      | bodies that stop one byte short           | Metrics            |
      | bodies that stop one byte short           | Detours            |
      | bodies in pieces that stop one byte short | Frontend           |
      | bodies announced far over the limit       | Frontend           |
      | bodies of large chunks that don't end     | Frontend           |
      | bodies of large chunks over the limit     | Frontend           |
      | bodies of two-byte chunks that don't end  | Frontend           |

    Examples: The port between peers
      | what                                  | listener |
      | messages that stop one byte short     | Control  |
      | messages whose last frame never comes | Control  |

  # A crowd without any body took all descriptors, and nobody could connect any more.
  Scenario: A crowd holds more connections than the machine has descriptors
    Given an entry on a small machine
    When 450 clients send heads that don't end to Frontend and stay
    Then an ordinary request is answered
    And the entry lives, with at most 96 MB resident and 400 descriptors open

  # What changes while a crowd is served must not free its budget, or hang.
  Scenario Outline: A crowd stays while <what happens>
    Given an entry on a small machine
    When 120 clients send bodies that stop one byte short to Frontend and stay
    And <what happens>
    And 120 clients send bodies of large chunks that don't end to Frontend and stay
    Then an ordinary request is answered
    And the entry lives, with at most 96 MB resident and 400 descriptors open

    Examples:
      | what happens                                  |
      | the settings are read again                   |
      | a configuration lowers the largest legal size |
      | the store is away                             |
      | ordinary callers send 200 requests            |

  # A stop that waits for the crowd would be ended by a kill, with requests lost.
  Scenario: An entry stops while a crowd stays
    Given an entry on a small machine
    When 120 clients send bodies that stop one byte short to Frontend and stay
    And the entry is told to stop
    Then it ends by itself with 0

  # A budget that is too small, or a pace that is too fast, would refuse legal requests.
  Scenario: The largest legal body is served, whole and slowly
    Given an entry on a small machine
    When a body of the largest legal size is sent whole
    Then it is answered, and reached the endpoint complete
    When a body of the largest legal size is sent in 8 pieces with pauses of 1.2 s
    Then it is answered, and reached the endpoint complete

  # What a crowd held must be free for others once it has gone.
  Scenario: The largest legal body is served after a crowd
    Given an entry on a small machine
    When 120 clients send bodies that stop one byte short to Frontend and stay
    And the clients leave
    And a body of the largest legal size is sent whole
    Then it is answered, and reached the endpoint complete
    And the entry lives, with at most 96 MB resident and 400 descriptors open

  # A status other than 413 would have callers send the body again.
  Scenario: A body over the limit is refused with 413
    Given an entry on a small machine
    When a body of one byte over the largest legal size is sent whole
    Then it is refused with 413
