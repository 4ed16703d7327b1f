Feature: Administration by commands and by HTTP

  Background:
    Given three entries in one process and an operator's key

  Scenario: An organisation is created, rotated, suspended and resumed by commands
    When the command "organisation create school --deployment dossiers-and-replies" prints a key
    Then that key is served at every entry within seconds
    When the command "organisation key rotate school key-1 --overlap-s 2" prints a key
    Then both keys are served
    And only the new key is served once the overlap has passed
    When the command "organisation suspend school" succeeds
    Then the new key is refused as permission_denied at every entry within seconds
    When the command "organisation resume school" succeeds
    Then that key is served at every entry within seconds
    When the command "organisation key revoke school key-2" succeeds
    Then the new key is refused as invalid_api_key at every entry within seconds
    And the history names the operator as author of the last 5 patches

  Scenario: Each role may do what it should and no more
    Then every role gets the status that the table of rights says

  Scenario: An organisation can neither see nor guess another's
    Given a confirmation that biblioteca-brasov sent under a key
    Then biblioteca-brasov sees its outcome and scoala-alba gets 404 as for an unknown key
    And the administrator of scoala-alba gets the same answer for biblioteca-brasov as for no organisation at all
    And what scoala-alba may read names no other organisation

  Scenario: Signing keys are not shown, and what is shown can't replace them
    When an operator rotates the keys that sign resume tokens
    Then the configuration and its history hold no signing key
    And sending the shown document back is refused

  Scenario: Each wrong command gives one line and its exit code
    Then every wrong command ends with its line and code

  Scenario: Every list is a table for people and JSON for scripts
    Then every reading command prints a table, and JSON with --json

  Scenario: An operator drains an entry through another
    When the command "drain entry-2" succeeds
    Then entry-2 is asked to stop and no other

  Scenario: The OpenAPI document names every route
    Then every route of the application stands in the OpenAPI document

  Scenario: The burn report adds up all entries and names those that are silent
    When each of the three entries answers 7 short requests
    Then the burn report counts 21 more answers, found through any entry
    When entry-3 is killed
    Then the burn report ends with code 5, names entry-3 and lacks its 7 answers
