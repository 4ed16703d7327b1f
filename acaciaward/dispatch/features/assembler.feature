Feature: Assembling an answer from its attempts

  Scenario: Any interleaving gives the same as naive concatenation
    Given answers, split into attempts with repeated, late and missing frames
    When each is assembled frame by frame
    Then the delivered tokens equal the naive concatenation of the answer

  Scenario: A final frame that doesn't match is never accepted as the complete answer
    Given an answer of 5 tokens of which 3 were delivered
    Then a final frame with another count or finish reason is rejected
