Feature: The soak sees faults of machines and servers that last

  # A newcomer whose seeds were all gone served as a system of its own, with whole quotas.
  Scenario: A build that finds others by its seeds alone is caught
    When a soak with seed 1, 3 entries and the plant seeds has the fault replace_seeds often for 36 s
    Then the promise QUOTA was broken

  # A crash later than half a second into an answer was never counted.
  Scenario: A build that counts only early crashes is caught
    When a soak with seed 1, 3 entries and the plant early has the fault crash_late often for 36 s
    Then the promise BUDGET was broken

  Scenario: A build that suspects whatever a server ran as it crashed is caught
    When a soak with seed 1, 3 entries and the plant accused has the fault crash_late often for 36 s
    Then the promise BUDGET was broken
