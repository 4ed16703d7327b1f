Feature: The demonstration

  Scenario Outline: Every answer is complete and correct while an engine is reclaimed
    When the demonstration of <example> runs <count> requests with seed <seed>
    Then all <count> are answered, none incomplete, wrong or refused

    Examples:
      | example       | count | seed |
      | puzzle-agency | 60    | 7    |
      | stock-agents  | 60    | 11   |

  Scenario: The command prints one JSON object last and exits with 0
    When the command runs the demonstration with 20 requests and JSON output
    Then its last line is the summary and its exit code 0

  Scenario: The installed package contains everything that the demonstration needs
    When the program is installed into an empty folder
    Then the demonstration answers 5 requests from there, away from the checkout
