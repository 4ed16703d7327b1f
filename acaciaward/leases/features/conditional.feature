Feature: One entry at a time holds the duties, by conditional appends

  Scenario: Of several entries one gets the lease of an empty topic
    Given 3 candidates on one topic
    When they all try at once
    Then exactly 1 holds the lease

  Scenario: A holder that renews keeps its fence
    Given 3 candidates on one topic
    When they try for 20 s
    Then exactly 1 holds the lease
    And only one fence was ever used

  Scenario: After a holder dies another takes over with a higher fence, not too soon
    Given 3 candidates on one topic
    When they try for 5 s
    And the lease's holder dies
    And they try for 8 s
    Then exactly 1 holds the lease
    And fences only rise, and no two leases overlap

  Scenario: A holder that slept has lost the lease when it wakes
    Given 3 candidates on one topic
    When they try for 5 s
    And the lease's holder sleeps while the others try for 8 s
    Then exactly 1 holds the lease
    And fences only rise, and no two leases overlap

  Scenario: A lost answer to a renewal is settled by reading
    Given 3 candidates on one topic
    When answers of the store are lost and they try for 20 s
    Then fences only rise, and no two leases overlap

  Scenario: Any schedule of deaths, sleeps and lost answers keeps leases apart
    Then for any schedule fences only rise, and no two leases overlap
