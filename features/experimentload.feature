Feature: Every experiment on load runs

  Scenario Outline: A short run of the experiment <name>
    When the experiment <name> runs for a short time
    Then it reports <figure>

    Examples:
      | name          | figure      |
      | binary        | file_mib    |
      | configuration | submitted   |
      | fairness      | p95_ratio   |
      | overload      | levels      |
      | policy        | acaciaward  |
