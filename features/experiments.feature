Feature: Short runs of experiments

  # The page on tainted parts rests on this model, and no test ran it.
  Scenario: The model of tainted parts tells the ways to find them apart
    When the experiment taintedparts runs on a few seeds
    Then "digest" lets a part crash more than 8 endpoints
    And "common parts, only before the answer" lets a part crash at most 8 endpoints
    And it refuses fewer sound requests than "count, only before the answer"
