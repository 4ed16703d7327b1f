Feature: All entries know which endpoints are brittle

  Six entries of two data centres send to four endpoints. Callers ask one entry only, so
  that no other has answers of the endpoints.

  Scenario: Entries that had no answer know it, as do new and restarted ones
    Given endpoints that answer one of six entries
    When the endpoints say that they are brittle
    Then all entries know it within the contact time
    And an entry that is restarted knows it within the contact time
    And the asked entry that is restarted knows it within the contact time
    And an entry that is new knows it within the contact time
    And each entry that ran all the while logged it once for each endpoint

  Scenario: It is forgotten once answers say it no longer
    Given endpoints that answer one of six entries
    When the endpoints say that they are brittle
    Then all entries know it within the contact time
    When the endpoints say it no longer
    Then no entry believes it after the contact time
    And each entry logged the end once for each endpoint

  Scenario Outline: Values that can't be right are ignored, and counted
    Given endpoints that answer one of six entries
    When the endpoints say "<value>" of how brittle they are
    And the contact time passes
    Then no entry believes it
    And the invalid values were counted, and calls were served

    Examples:
      | value      |
      | -1         |
      | 1.5        |
      | many       |
      | 1000001    |
      | 2, 3       |

  Scenario: Heads of answers are read as the rules say
    Then "<number>" as Server-Brittle reads as
      | number  | read    |
      | 0       | 0       |
      | 7       | 7       |
      | 1000000 | 1000000 |
      | 1000001 | nothing |
      | +1      | nothing |
      | ²       | nothing |
      | 1e3     | nothing |
      |         | nothing |
    And a repeated Server-Brittle reads as nothing
