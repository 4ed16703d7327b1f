Feature: The soak sees whether entries spare servers that are brittle

  Scenario: A build that passes over that servers are brittle is caught
    When a soak with seed 1, 3 entries and the plant brittle has the fault be_brittle often for 36 s
    Then the promise LIMIT was broken
