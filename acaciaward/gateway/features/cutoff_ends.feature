Feature: Cuts between entries and endpoints that end, move, or spare no entry

  Six entries of two data centres get streams, idempotent and non-idempotent calls.

  # Calls that no entry could serve were held, or service didn't come back.
  Scenario Outline: All entries cut off (<mode>), calls are refused at once
    Given 2 data centres of 3 entries with 6 endpoints, and 80 calls a second
    When all entries can't reach endpoints for 6 s (<mode>)
    And 4 s pass after healing
    Then calls keep their promises
    And 2 s after healing nine in ten first tries are served
    And first tries later than the contact time are refused with 503 within 0.5 s

    Examples:
      | mode  |
      | hang  |
      | reset |

  # The same where calls may still be served over connections that live on.
  Scenario: All entries cut off (refuse), calls are served or refused at once
    Given 2 data centres of 3 entries with 6 endpoints, and 80 calls a second
    And streams end with their connection
    When all entries can't reach endpoints for 6 s (refuse)
    And 4 s pass after healing
    Then calls keep their promises
    And 2 s after healing nine in ten first tries are served
    And first tries later than the contact time are served, or refused with 503 within 0.5 s

  # Calls ran twice, broke a promise or tore a stream when a cut ended and moved on.
  Scenario Outline: A cut (<mode>) heals and moves on, calls are served as elsewhere
    Given 2 data centres of 3 entries with 6 endpoints, and 80 calls a second
    When two of three of a data centre can't reach endpoints for 2 s (<mode>)
    And 1 s pass after healing
    And two of three of the other data centre can't reach endpoints for 5 s (<mode>)
    Then calls keep their promises
    And first tries at cut entries are served as often as at the others, or few fail

    Examples:
      | mode  |
      | hang  |
      | reset |

  # The same where open connections live on but are used up.
  Scenario: A cut (refuse) heals and moves on, calls are served as elsewhere
    Given 2 data centres of 3 entries with 6 endpoints, and 80 calls a second
    And streams end with their connection
    When two of three of a data centre can't reach endpoints for 2 s (refuse)
    And 1 s pass after healing
    And two of three of the other data centre can't reach endpoints for 5 s (refuse)
    Then calls keep their promises
    And first tries at cut entries are served as often as at the others, or few fail

  # Calls that passed through two entries were charged twice to a quota, or never (QUOTA).
  Scenario: A data centre cut off (reset), a quota is charged once
    Given 2 data centres of 3 entries with 6 endpoints, 80 calls a second and a quota
    When all of a data centre can't reach endpoints for 6 s (reset)
    Then calls keep their promises
    And the runs of an organisation that asks too much stay within its quota
    And its runs use 0.85 of the quota while the cut lasts, or more

  # Entries took endpoints that had ended together for a cut of their own, and refused
  # every call though other endpoints served.
  Scenario Outline: <count> of 12 endpoints end at once and stay listed, others serve
    Given 2 data centres of 3 entries with 12 endpoints, and 80 calls a second
    When <count> endpoints end, and are listed for 3 s
    Then calls keep their promises
    And nine in ten first tries from 0.5 s after their end on are served

    Examples:
      | count |
      | 6     |
      | 9     |
