Feature: Quotas and repeat budgets hold over all entries without remote calls

  Scenario: A hot organisation gets its quota and little more
    Given 9 entries that share a quota of 1000 a second and 1000 at once
    And they exchange reports every 0.5 s
    When 8 times the quota is requested over 20 s
    Then no window of 8 s exceeds the quota by more than a tenth and 1200 units
    And at least 0.8 of the quota was used

  Scenario: An organisation within its quota is never refused
    Given 9 entries that share a quota of 1000 a second and 1000 at once
    And they exchange reports every 0.5 s
    When 0.7 times the quota is requested over 20 s
    Then nothing was refused after the first second

  Scenario: Partitioned entries don't spend a quota twice
    Given 9 entries that share a quota of 1000 a second and 1000 at once
    And they exchange reports every 0.5 s
    When they are partitioned into 6 and 3 and 8 times the quota is requested over 20 s
    Then no window of 8 s exceeds the quota by more than a tenth and 1200 units

  # What each side had spent of its own part was charged to both when they met: quotas
  # were refused for eight seconds.
  Scenario: Entries that were partitioned for long use the quota as soon as they meet
    Given 9 entries that share a quota of 1000 a second and 1000 at once
    And they exchange reports every 0.5 s
    When they are partitioned into 6 and 3 and 8 times the quota is requested over 20 s
    And they meet and 8 times the quota is requested over 12 s
    Then no window of 8 s exceeds the quota by more than a tenth and 1200 units
    And at least 0.9 of the quota was used in the last 12 s

  Scenario: A lowered quota applies at once
    Given 9 entries that share a quota of 1000 a second and 1000 at once
    And they exchange reports every 0.5 s
    When the quota is lowered to 100 and 8 times the quota is requested over 20 s
    Then no window of 8 s exceeds the quota by more than a tenth and 1200 units

  Scenario: A request larger than the bucket passes when the bucket is full
    Given 1 entries that share a quota of 1000 a second and 1000 at once
    Then a request of 5000 passes after 2 s and the next has to wait

  Scenario: Repeats in a storm of failures stay within the budget
    Given 9 entries with a repeat ratio of 0.2 and 58 in 10 s
    When every request of 60 s is repeated as often as allowed
    Then no window of 10 s holds more repeats than the budget allows

  # Entries that started anew spent the burst again that those before them had spent.
  Scenario Outline: Entries that start anew don't spend the repeat budget twice
    Given 9 entries with a repeat ratio of 0.2 and 58 in 10 s
    When every request from <begin> s to 60 s is repeated, and <which> start anew at 30 s
    Then no window of 10 s holds more repeats than the budget allows
    And half of what the budget allows is used from 40 s on

    Examples:
      | begin | which       |
      | 0     | all entries |
      | 29    | all entries |
      | 25    | all entries |
      | 25    | entries, one each half a second, |

  Scenario: When all entries are killed at once, a quota isn't spent twice
    Given 9 entries that share a quota of 1000 a second and 9000 at once
    And they exchange reports every 0.5 s
    When 0.1 times the quota is requested over 20 s
    And 8 times the quota is requested over 2 s
    And all entries restart without reports from each other for 1 s
    And 8 times the quota is requested over 10 s
    Then no window of 8 s exceeds the quota by more than a tenth and 1200 units

  Scenario: After a restart of all entries, an organisation within its quota is served
    Given 9 entries that share a quota of 1000 a second and 9000 at once
    And they exchange reports every 0.5 s
    And requests of 250 units
    When 0.55 times the quota is requested over 20 s
    And all entries restart with the saved levels, partitioned for 0.5 s
    And 1.1 times the quota is requested over 2 s
    Then at most 0.05 of what was requested since then is refused

  Scenario: A quota isn't spent twice by entries that restart with saved levels
    Given 9 entries that share a quota of 1000 a second and 9000 at once
    And they exchange reports every 0.5 s
    When 0.1 times the quota is requested over 20 s
    And 8 times the quota is requested over 1 s
    And all entries restart with the saved levels, partitioned for 0.5 s
    And 8 times the quota is requested over 10 s
    Then no window of 8 s exceeds the quota by more than a tenth and 1200 units

  Scenario: Entries that restart again and again don't spend a quota twice
    Given 9 entries that share a quota of 1000 a second and 9000 at once
    And they exchange reports every 0.5 s
    When 8 times the quota is requested over 10 s
    And all entries restart with the saved levels, partitioned for 0.5 s
    And 8 times the quota is requested over 3 s
    And all entries restart with the saved levels, partitioned for 0.5 s
    And 8 times the quota is requested over 10 s
    Then no window of 8 s exceeds the quota by more than a tenth and 1200 units

  Scenario: An entry that starts among others serves organisations within their quota
    Given 9 entries that share a quota of 1000 a second and 9000 at once
    And they exchange reports every 0.5 s
    And requests of 250 units
    When 0.55 times the quota is requested over 20 s
    And one entry restarts and adopts the levels of another
    And 0.55 times the quota is requested over 2 s
    Then at most 0.0 of what was requested since then is refused
