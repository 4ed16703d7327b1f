Feature: Entries that are cut off from all endpoints go on serving

  Six entries of two data centres get streams, idempotent and non-idempotent calls.
  Callers, the store and other entries still reach the entries that are cut off. Open
  connections to endpoints hang, are reset, or live on while new ones are refused.

  # Entries that were cut off answered 503 to every call of 12 s (RECOVER).
  Scenario Outline: <cut> cut off (<mode>), calls are served as elsewhere
    Given 2 data centres of 3 entries with 6 endpoints, and 80 calls a second
    When <cut> can't reach endpoints for 6 s (<mode>)
    Then calls keep their promises
    And first tries at cut entries are served as often as at the others, or few fail

    Examples:
      | cut                           | mode  |
      | one entry                     | hang  |
      | one entry                     | reset |
      | two of three of a data centre | hang  |
      | two of three of a data centre | reset |
      | all of a data centre          | hang  |
      | all of a data centre          | reset |

  # The same where open connections live on but are used up.
  Scenario Outline: <cut> cut off (refuse), calls are served as elsewhere
    Given 2 data centres of 3 entries with 6 endpoints, and 80 calls a second
    And streams end with their connection
    When <cut> can't reach endpoints for 6 s (refuse)
    Then calls keep their promises
    And first tries at cut entries are served as often as at the others, or few fail

    Examples:
      | cut                           |
      | one entry                     |
      | two of three of a data centre |
      | all of a data centre          |
