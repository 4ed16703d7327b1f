Feature: The page for a first installation

  Scenario: Every command of the page works as written
    Given the commands of docs/operators/install.md
    When they are run in order by a shell
    Then every one of them succeeded
    And the answers, the key rotation and the burn report are as the page says
