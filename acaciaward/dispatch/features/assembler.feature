Feature: Putting an answer together

  Scenario: Any interleaving gives the same as naive concatenation
    Given answers, cut into attempts with repeated, late and crossed frames
    When each is assembled frame by frame
    Then what is passed on equals the naive concatenation of the answer

  Scenario: An end that doesn't fit is never taken for the whole
    Given an answer of 5 tokens of which 3 were passed on
    Then an end with another count or reason is refused
