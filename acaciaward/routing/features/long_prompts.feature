Feature: A few very long prompts among many don't hold up everybody's streams

  Scenario: Streams are seldom paused by what is read beside them
    Given 30 engines, and 40 prompts a second of which one in eight is long
    When they are placed for 60 s with load reports 0.25 s late
    Then less than half as many streams are paused beyond 0.5 s as without endpoints for long prompts
    And long prompts are prefilled within the objective of 1 s on average

  Scenario: Entries that see different prompts divide the endpoints alike
    Given 60 entries of which each sees 10 prompts, one in eight of them long
    When each receives the sums over all
    Then all reserve the same endpoints for long prompts, a fifth to a half of them

  Scenario: Endpoints change sides one by one
    Given 30 engines, and 40 prompts a second of which one in eight is long
    Then with a share of 0.2 for long prompts, 9 endpoints are reserved
    And with one endpoint less, at most 1 of these changes
    And with a share of 0.25, all of these stay

  Scenario Outline: Where there is nothing to divide, all endpoints take all prompts
    Then of <count> endpoints and a share of <share>, <kept> are for long prompts

    Examples:
      | count | share | kept |
      | 3     | 0.5   | 0    |
      | 4     | 0.0   | 0    |
      | 4     | 0.9   | 2    |
      | 9     | 0.1   | 2    |

  Scenario: What has no room on its own side goes to the other
    Given 30 engines, and 40 prompts a second of which one in eight is long
    When the endpoints for long prompts have 60000 tokens to prefill
    Then long prompts go to the others

  Scenario: What counts as long depends on the pauses that streams may have
    Then a prompt of 20000 tokens is long where pauses may be 0.5 s, but not where 2 s or any
