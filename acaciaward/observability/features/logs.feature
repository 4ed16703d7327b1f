Feature: Log lines

  Scenario: No text from a caller can forge a line or a field
    Then any text as a value stays on one line and can be read back
