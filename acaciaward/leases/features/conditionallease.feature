Feature: One entry at a time holds the duties, by conditional appends

  Scenario: Of several entries one gets the lease of an empty topic
    Given 3 candidates on one topic
    When all of them run once
    Then exactly 1 holds the lease

  Scenario: A holder that renews keeps its fence
    Given 3 candidates on one topic
    When they run for 20 s
    Then exactly 1 holds the lease
    And only one fence was ever used

  Scenario: After a holder dies another takes over with a higher fence, but not too soon
    Given 3 candidates on one topic
    When they run for 5 s
    And the lease holder dies
    And they run for 8 s
    Then exactly 1 holds the lease
    And fences only rise, and no two leases overlap

  Scenario: A holder that was suspended has lost the lease when it resumes
    Given 3 candidates on one topic
    When they run for 5 s
    And the lease holder is suspended while the others run for 8 s
    Then exactly 1 holds the lease
    And fences only rise, and no two leases overlap

  Scenario: A lost answer to a renewal is resolved by reading
    Given 3 candidates on one topic
    When answers of the store are lost and they run for 20 s
    Then fences only rise, and no two leases overlap

  # Guards against a fence that is used twice, as offsets go back with the store.
  Scenario: The fence doesn't fall when the store comes back from an older copy
    Given 3 candidates on one topic
    When they run for 5 s
    And the lease holder dies
    And they run for 8 s
    And the store loses what was appended in the last 6 s and the lease holder dies
    And they run for 8 s
    Then exactly 1 holds the lease
    And fences only rise, and no two leases overlap

  # Guards against a lease that begins while one goes on whose records the store lost.
  Scenario: An entry that starts on a topic that was lost waits for the lease to lapse
    Given 3 candidates on one topic
    When they run for 5 s
    And the store loses everything, and an entry starts
    And they run for 8 s
    Then exactly 1 holds the lease
    And fences only rise, and no two leases overlap

  # Guards against a holder whose last renewal only the others' store has lost.
  Scenario: A lost renewal doesn't let another entry take over before the lease lapses
    Given 3 candidates on one topic
    When they run for 5 s
    And the store loses the last renewal while the holder goes on
    And they run for 8 s
    Then exactly 1 holds the lease
    And fences only rise, and no two leases overlap

  # Guards against renewals that expired unread and count as if they had never been.
  Scenario: Renewals that expired unread don't let another entry take over
    Given 3 candidates on one topic
    When they run for 5 s
    And all records expire while only the holder runs for 8 s
    And they run for 8 s
    Then exactly 1 holds the lease
    And fences only rise, and no two leases overlap

  # Guards against a lease that nobody gets again, as the first offset isn't known.
  Scenario: A refused read that names no first offset doesn't stop the duties
    Given 3 candidates on one topic
    When they run for 8 s
    And reads beyond the end name no first offset and old records have expired
    And the store loses what was appended in the last 2 s
    And they run for 8 s
    Then exactly 1 holds the lease
    And fences only rise, and no two leases overlap

  # Guards against a duty that nobody holds after the store came back twice.
  Scenario: After two restores in a row one entry holds the lease
    Given 3 candidates on one topic
    When they run for 6 s
    And the store loses what was appended in the last 3 s
    And they run for 1 s
    And the store loses what was appended in the last 4 s
    And they run for 8 s
    Then exactly 1 holds the lease
    And fences only rise, and no two leases overlap

  # Guards against fences and leases that depend on what a restored store has lost.
  Scenario: No schedule of restores, late appends and deaths makes leases overlap
    Then for any schedule with restores fences only rise, and no two leases overlap

  # Guards against fences and leases that depend on what is no longer retained.
  Scenario: No schedule of records that expire, late appends and deaths overlaps leases
    Then for any schedule with expiry fences only rise, and no two leases overlap

  Scenario: No schedule of deaths, suspensions and lost answers makes leases overlap
    Then for any schedule fences only rise, and no two leases overlap
