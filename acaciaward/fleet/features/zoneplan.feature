Feature: The fleet survives the loss of a data centre at the lowest price

  Scenario: A calm demand is served by reclaimable endpoints alone
    Given 2 reclaimable endpoints in each data centre and a need of 2
    Then no safe endpoint is ordered

  Scenario: A data centre reclaimed with none to be had leaves the demand served
    Given 2 reclaimable endpoints in each data centre and a need of 2
    When the endpoints of one are reclaimed and none are to be had
    Then no safe endpoint is ordered

  Scenario: Two reclaims in a row call for safe endpoints before the third
    Given 2 reclaimable endpoints in each data centre and a need of 2
    When the endpoints of two are reclaimed and none are to be had
    Then 2 safe endpoints are ordered, in the cheapest data centres first

  Scenario: After one reclaim of many the next loss is guarded in part
    Given 20 reclaimable endpoints in each data centre and a need of 38
    When the endpoints of one are reclaimed and none are to be had
    Then 11 safe endpoints are ordered, in the cheapest data centres first

  Scenario: Before anybody asks, what was given is kept in good part
    Given a fleet of 45 safe endpoints that nobody has asked yet
    Then at least 27 endpoints are kept or ordered until demand is known

  Scenario: Safe endpoints go only when what replaces them serves
    Given 2 safe endpoints in each data centre and a need of 2
    Then all safe endpoints are kept
    When 2 reclaimable ones serve in each
    Then no safe endpoint is ordered

  Scenario: Every plan keeps the bounds of each data centre
    Then for any snapshot the plan keeps minimum and maximum

  Scenario: A plan that is carried out stays as it is
    Then for any demand the plan settles

  Scenario: A refused order doesn't count as endpoints that come
    Given a fleet of 2 reclaimable endpoints in each data centre under one holder
    When two data centres are reclaimed 4 s apart and none are to be had
    Then safe endpoints are ordered within 0.7 s of the second
    And no order was taken back within the first second

  Scenario: Safe endpoints stay while what replaces them boots
    Given a fleet with 1 safe endpoint in each data centre and bounds of 1 to 3
    When the demand calls for 3 reclaimable endpoints in each
    Then the safe ones stay until those serve

  Scenario: No safe endpoint is let go before what was given has come up
    Given a holder that knows no endpoint yet
    When 1 s passes
    Then no safe endpoint was ordered or let go
    When 15 safe endpoints come up in each data centre, and 12 s pass
    Then at least 27 endpoints are kept or ordered until demand is known

  Scenario: What replaces the given endpoints boots while these come up
    Given a holder that knows no endpoint yet
    When 1 s passes
    Then 2 reclaimable endpoints are ordered in each data centre

  Scenario: Safe endpoints never drive out reclaimable ones that serve
    Then for any snapshot reclaimable endpoints that serve are kept up to the need

  Scenario: Reclaimable endpoints are ordered as room appears
    Given a fleet with 1 safe endpoint in each data centre and bounds of 1 to 3
    When the demand calls for 3 reclaimable endpoints in each
    Then no data centre is asked for more than it has room for

  Scenario: While a data centre is reclaimed, nothing is counted on that only boots
    Given a fleet of 2 reclaimable endpoints in each data centre, a third ordered
    When one data centre is reclaimed
    Then safe endpoints are ordered within 0.7 s

  Scenario Outline: Engines read prompts for at most seven tenths of the time
    Then <tokens> tokens a second, and a sixth of all read being shared parts, find enough engines

    Examples: from the two sites and from the grown ones
      | tokens  |
      | 103000  |
      | 137000  |
      | 650000  |
      | 890000  |
