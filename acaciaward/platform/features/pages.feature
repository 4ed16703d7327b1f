Feature: Each header that the platform's pages name is kept to or passed over knowingly

  # Two headers had rules that no line of the project knew, for four landings.
  Scenario: The table of headers agrees with what is decoded and encoded
    Then each header that is read, set or dropped is known to the platform package
    And each header that is passed over has a reason, and isn't decoded
    And each header that the platform package names is listed
    And each test that is listed exists
