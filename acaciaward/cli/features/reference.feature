Feature: Pages and files for operators agree with the program

  Scenario: The references and the index of design notes are current
    Then script/api_reference.py would write the same pages

  Scenario: Alerts and dashboard name metrics that exist
    Then every metric of alerts.yaml and dashboard.json is one of the program's
    And the operators' page lists every alert, and no other

  Scenario: Every command that the operators' pages mention exists
    Then each command in the pages is one of the program's
