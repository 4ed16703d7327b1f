Feature: Pages and files for operators agree with the program

  Scenario: The references of routes and commands are current
    Then script/api_reference.py would write the same pages

  Scenario: Alerts and dashboard name metrics that exist
    Then every metric of alerts.yaml and dashboard.json is one of the program's
    And every alert stands on the operators' page, and no other

  Scenario: Every command that the operators' pages name exists
    Then each command in the pages is one of the program's

  Scenario: The index of design notes names every note
    Then docs/design/README.md links every note of its folder and no other
