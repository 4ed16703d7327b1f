Feature: Service-level burn

  Scenario: The merged report equals a naive recount over raw events
    Given 3 entries that count for objectives whose deadlines change
    When 60 drawn histories of answers and failures are counted
    Then every window of every objective equals the naive recount

  Scenario Outline: Burn rates follow from the share of bad answers
    When <bad> of <total> answers were bad and the objective requires <share>
    Then the burn rate is <rate>

    Examples:
      | bad | total | share | rate |
      | 0   | 0     | 0.99  | none |
      | 0   | 1000  | 0.99  | 0    |
      | 10  | 1000  | 0.99  | 1    |
      | 20  | 1000  | 0.99  | 2    |
      | 1   | 10    | 1.0   | 1e9  |

  Scenario: An alert fires only if its long and its short window both burn
    When an hour of bad answers ended 40 minutes ago within a window of a month
    Then no rule pages for it
    When the answers turn bad again
    Then a rule pages for it

  Scenario: Errors of callers do not burn the budget, failures of the system do
    Then each error counts as a failure only if the system caused it

  Scenario: The number of slots stays bounded
    When answers of 40 days are counted
    Then no level keeps more slots than its limit

  Scenario: A refusal before the deployment is known counts for its service class
    When requests of the classes urgent, rush and none are refused early
    Then the report has 1 bad urgent and 2 bad short answers
