Feature: Entries find each other when the machines of their seeds are gone

  # A newcomer whose seeds were all gone served as a system of its own: with whole
  # quotas and the whole retry budget.
  Scenario: The machines of seeds are replaced at other addresses, three times around
    Given 9 entries in 3 data centres that remember silent peers for 2 s
    And callers ask for 3 times the quota of an organisation
    When the machines of the seeds are replaced one by one, 3 times around
    Then each newcomer was in one group with all others within 5 s
    And at least 0.9 of the rate, and at most 1.1 of rate and burst were taken in each 10 s

  # Newcomers that knew nobody found neither each other nor the entries that ran.
  Scenario: A data centre of newcomers starts while all seeds are gone
    Given 6 entries in 2 data centres that remember silent peers for 2 s
    And the machines of the seeds are replaced one by one
    And callers ask for 3 times the quota of an organisation
    When 3 newcomers start at once in another data centre
    Then all entries are in one group within 5 s
    And at least 0.9 of the rate, and at most 1.1 of rate and burst were taken in each 10 s

  # After 30 s each side took itself for the whole system, and spent whole quotas.
  Scenario Outline: A data centre is cut off from the other entries for long
    Given 9 entries in 3 data centres that remember silent peers for 30 s
    And callers ask for 3 times the quota of an organisation
    When a data centre is cut off from the others <and> for 45 s
    Then all entries are in one group within 5 s
    And at least 0.9 of the rate, and at most 1.1 of rate and burst were taken in each 10 s

    Examples:
      | and            |
      | alone          |
      | and the store  |
