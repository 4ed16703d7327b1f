Feature: The fleet survives the loss of a data centre at the lowest price

  Scenario: A calm demand is served by reclaimable endpoints alone
    Given 2 reclaimable endpoints in each data centre and a need of 2
    Then no safe endpoint is ordered

  Scenario: A data centre reclaimed with none available leaves the demand served
    Given 2 reclaimable endpoints in each data centre and a need of 2
    When the endpoints of one are reclaimed and none are available
    Then no safe endpoint is ordered

  Scenario: After two reclaims in a row safe endpoints are ordered before the third
    Given 2 reclaimable endpoints in each data centre and a need of 2
    When the endpoints of two are reclaimed and none are available
    Then 2 safe endpoints are ordered, in the cheapest data centres first

  Scenario: After one reclaim of many endpoints the next loss is covered in part
    Given 20 reclaimable endpoints in each data centre and a need of 38
    When the endpoints of one are reclaimed and none are available
    Then 11 safe endpoints are ordered, in the cheapest data centres first

  Scenario: Before there is demand, most initial endpoints are kept
    Given a fleet of 45 safe endpoints that has had no requests yet
    Then at least 27 endpoints are kept or ordered until demand is known

  Scenario: Safe endpoints are released only when their replacements serve
    Given 2 safe endpoints in each data centre and a need of 2
    Then all safe endpoints are kept
    When 2 reclaimable ones serve in each
    Then no safe endpoint is ordered

  Scenario: Every plan respects the bounds of each data centre
    Then for any snapshot the plan respects minimum and maximum

  Scenario: A plan that has been carried out is stable
    Then for any demand the plan becomes stable

  Scenario: A refused order doesn't count as booting endpoints
    Given a fleet of 2 reclaimable endpoints in each data centre under one lease holder
    When two data centres are reclaimed 4 s apart and none are available
    Then safe endpoints are ordered within 0.7 s of the second
    And no order was reduced within the first second

  Scenario: Safe endpoints are kept while their replacements boot
    Given a fleet with 1 safe endpoint in each data centre and bounds of 1 to 3
    When the demand needs 3 reclaimable endpoints in each
    Then the safe ones are kept until the reclaimable ones serve

  Scenario: No safe endpoint is released before the initial endpoints are discovered
    Given a lease holder that knows no endpoint yet
    When 1 s passes
    Then no safe endpoint was ordered or released
    When 15 safe endpoints appear in each data centre, and 12 s pass
    Then at least 27 endpoints are kept or ordered until demand is known

  Scenario: Replacements are ordered while the initial endpoints are discovered
    Given a lease holder that knows no endpoint yet
    When 1 s passes
    Then 2 reclaimable endpoints are ordered in each data centre

  Scenario: Safe endpoints never displace reclaimable ones that serve
    Then for any snapshot reclaimable endpoints that serve are kept up to the need

  Scenario: Reclaimable endpoints are ordered as room appears
    Given a fleet with 1 safe endpoint in each data centre and bounds of 1 to 3
    When the demand needs 3 reclaimable endpoints in each
    Then no data centre is asked for more than it has room for

  Scenario: While a data centre is reclaimed, booting endpoints are not relied on
    Given a fleet of 2 reclaimable endpoints in each data centre, a third ordered
    When one data centre is reclaimed
    Then safe endpoints are ordered within 0.7 s

  Scenario Outline: Engines spend at most seven tenths of the time on prefill
    Then there are enough engines for <tokens> prompt tokens a second, if a sixth of all prefilled tokens are shared prefixes

    Examples: the demand of two sites, before and after growth
      | tokens  |
      | 103000  |
      | 137000  |
      | 650000  |
      | 890000  |
