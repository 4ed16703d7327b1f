Feature: A few very long prompts among many don't delay all streams

  Scenario: Streams are seldom paused by prompts that the same engine prefills
    Given 30 engines, and 40 prompts a second of which one in eight is long
    When they are placed for 60 s with load reports 0.25 s late
    Then less than half as many streams are paused beyond 0.5 s as without endpoints for long prompts
    And long prompts are prefilled within the objective of 1 s on average

  Scenario: Entries that see different prompts reserve the same endpoints
    Given 60 entries of which each sees 10 prompts, one in eight of them long
    When each receives the sums over all
    Then all reserve the same endpoints for long prompts, a fifth to a half of them

  Scenario: Few endpoints are reassigned when the share or the endpoints change
    Given 30 engines, and 40 prompts a second of which one in eight is long
    Then with a share of 0.2 for long prompts, 9 endpoints are reserved
    And with one endpoint less, at most 1 of these changes
    And with a share of 0.25, all of these stay

  Scenario Outline: At most half of the endpoints are reserved, and none of a few
    Then of <count> endpoints and a share of <share>, <kept> are for long prompts

    Examples:
      | count | share | kept |
      | 3     | 0.5   | 0    |
      | 4     | 0.0   | 0    |
      | 4     | 0.9   | 2    |
      | 9     | 0.1   | 2    |

  Scenario: Long prompts go to other endpoints when the reserved ones have a backlog
    Given 30 engines, and 40 prompts a second of which one in eight is long
    When the endpoints for long prompts have 60000 tokens to prefill
    Then long prompts go to the others

  Scenario: Which prompts count as long depends on the pauses that streams may have
    Then a prompt of 20000 tokens is long where pauses may be 0.5 s, but not where 2 s or any
