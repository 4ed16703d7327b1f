Feature: The program as one file

  Scenario: The built file serves a request, starts no process and stops cleanly
    Given the file that script/build makes
    When it is started as an entry without this tree's packages
    Then a plain service's call through it is answered
    And it has started no other process and unpacked its files only below SHIV_ROOT
    And on SIGTERM it ends with code 0
