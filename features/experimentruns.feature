Feature: Every experiment runs

  # The experiments are run by hand, so that nobody saw when one failed at its start.
  Scenario Outline: A short run of the experiment <name>
    When the experiment <name> runs for a short time
    Then it reports <figure>

    Examples:
      | name          | figure                       |
      | once          | ran_twice                    |
      | overhead      | added                        |
      | chaos         | streams                      |
      | drain         | requests                     |
      | poison        | endpoints_killed             |
      | reclaim       | puzzle-agency                |

  # An answer without counters was taken for counters at 0.
  Scenario: The experiment on control reads the counters of entries
    When the experiment control runs for a short time with 3 entries and 8 endpoints
    Then an entry exchanges messages with its peers, idle and under churn
