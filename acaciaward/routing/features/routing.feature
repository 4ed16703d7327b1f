Feature: The choice of an endpoint

  Scenario: An excluded, leaving or dead endpoint is never chosen
    Then for any pool the router never returns an unavailable endpoint

  Scenario: Ejection leaves at least half of a pool
    Then for any pool ejection leaves at least half of it

  Scenario: A subset is deterministic, spread over data centres and stable
    Then for any pool the subset keeps its size and spread, and changes little

  Scenario: The older a load report, the more the mean replaces it
    Then the estimated load moves from the report to the mean as the report ages

  Scenario: Blocks with the salt of one organisation are not found with another
    Then no prompt is cached under the salt of another organisation

  Scenario: A gap in the cache events discards the blocks known before it
    Then a gap discards everything before it

  Scenario: Weights decide where long work goes
    Then long work goes to on-demand capacity only where recomputed tokens weigh more
