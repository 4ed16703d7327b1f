Feature: Where callers allow only short pauses, the fleet has room before it is needed

  # An engine was reckoned with 45,000 tokens a second everywhere, though some read 64,000
  # at most and their callers allow pauses of 0.3 s: half of the requests were refused.
  Scenario Outline: Engines prefill less where callers allow only short pauses
    Then an engine that prefills <rate> tokens a second is planned with <planned>, if pauses of <gap> s are allowed

    Examples: pauses of 0.5 s and more are planned for as before, whatever is measured
      | rate   | gap  | planned |
      | 75000  | 0.6  | 45000   |
      | 40000  | 0.5  | 45000   |
      | 120000 | none | 45000   |
      | 75000  | 0.4  | 36000   |
      | 64000  | 0.3  | 23040   |
      | 0      | 0.3  | 5400    |
      | 1e12   | 0.3  | 144000  |

  # The first order came when 27 of 45 endpoints were discovered, and released the others.
  Scenario: Endpoints that are discovered late are neither released nor forgotten
    Given a holder without requests, whose callers allow pauses of 0.3 s
    When 45 safe endpoints are discovered over 4 s
    Then at least 45 endpoints serve for 30 s
    And any one data centre serves the need of 45

  # The second reclaim came 4 s after the first, before new endpoints had booted.
  Scenario Outline: Two data centres that are reclaimed in a row leave the need served
    Given a holder with a demand that needs <needed> engines, at a price of <price>, whose callers allow pauses of <gap> s
    When two data centres are reclaimed 4 s apart and none are to be had
    Then at least <left> endpoints serve all the while

    Examples: with longer pauses, or at a higher price, one reclaim is covered as before
      | needed | price | gap | left |
      | 20     | 0.18  | 0.3 | 20   |
      | 20     | 0.18  | 0.6 | 10   |
      | 20     | 0.5   | 0.3 | 10   |

  # Safe endpoints filled the maximum of each data centre after two reclaims, so that
  # there was no room for reclaimable ones, and all were kept to the end of the day.
  Scenario: Safe endpoints that aren't needed make room for reclaimable ones
    Given a holder with a demand that needs 20 engines, at a price of 0.18, whose callers allow pauses of 0.3 s
    When safe endpoints fill the maximum of 10 in each data centre
    Then within 40 s reclaimable endpoints serve the need and no safe one is left
    And at least 20 endpoints serve all the while

  # The need of a burst was forgotten when the lease passed on in its midst.
  Scenario: A new holder keeps what its predecessor needed until the hold ends
    Given a holder with a demand that needs 20 engines, at a price of 0.18, whose callers allow pauses of 0.3 s
    When the lease passes on and the demand falls to 5 engines
    Then at least 50 endpoints are ordered for 8 s
    And fewer than 40 endpoints are ordered after 60 s

  # Queues at overloaded endpoints asked for twice the endpoints that callers needed.
  Scenario: Queues that last for seconds don't count as demand
    Given requests that take 0.5 s, 400 a second
    When they take 5 s for 6 s
    Then at most 600 at once are reckoned with
    When they take 5 s for 90 s
    Then at least 1600 at once are reckoned with
    When they take 0.5 s for 1 s
    Then at most 200 at once are reckoned with
