Feature: The soak sees faults of machines and servers that last

  # A newcomer whose seeds were all gone served as a system of its own, with whole quotas.
  Scenario: A build that finds others by its seeds alone is caught
    When a soak with seed 1, 3 entries and the plant seeds has the fault replace_seeds often for 36 s
    Then the promise QUOTA was broken
