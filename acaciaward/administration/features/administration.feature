Feature: Administration by commands and by HTTP

  Background:
    Given three entries in one process and an operator's key

  Scenario: Commands create an organisation, rotate its key, suspend and resume it
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

  Scenario: Each role has its own rights and no others
    Then every role gets the expected status from every route

  Scenario: An organisation can't see another's data or whether it exists
    Given a confirmation that biblioteca-brasov sent under an idempotency key
    Then biblioteca-brasov sees its outcome and scoala-alba gets 404 as for an unknown key
    And the administrator of scoala-alba gets the same answer for biblioteca-brasov as for no organisation at all
    And no answer that scoala-alba may read names another organisation

  Scenario: Signing keys are redacted, and a redacted document can't replace them
    When an operator rotates the keys that sign resume tokens
    Then the configuration and its history hold no signing key
    And submitting the redacted document as a patch is refused

  Scenario: Each invalid command prints a message and ends with its exit code
    Then every invalid command prints its message and ends with its exit code

  Scenario: Every reading command has a table for people and JSON for scripts
    Then every reading command prints a table, and JSON with --json

  Scenario: An operator finds a quarantined request and lifts its quarantine
    Given a request of scoala-alba is quarantined
    When an operator lifts the quarantine that "quarantine list" shows for scoala-alba
    Then the document in force names the digest as lifted since the quarantine

  Scenario: An operator drains an entry through another
    When the command "drain entry-2" succeeds
    Then entry-2 is asked to stop and no other

  Scenario: The OpenAPI document names every route
    Then every route of the application is in the OpenAPI document

  Scenario: The burn report adds up all entries and names unresponsive ones
    When each of the three entries answers 7 short requests
    Then the burn report counts 21 more answers, whichever entry is asked
    When entry-3 is killed
    Then the burn report ends with code 5, names entry-3 and lacks its 7 answers
