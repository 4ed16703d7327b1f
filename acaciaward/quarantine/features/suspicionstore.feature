Feature: What is suspected of crashing endpoints outlives all entries

  # Each loss of all entries cost three or more endpoints again (BUDGET).
  Scenario: An entry that starts after all were lost suspects what they suspected
    Given a writer of suspicions
    When request "a" and part "x" have crashed 5 endpoints, and it saves
    And all entries are lost, and one starts 20 s later
    Then the new entry refuses request "a" and part "x"

  Scenario: Crashes before and after a loss of all entries add up
    Given a writer of suspicions
    When request "a" and part "x" have crashed 2 endpoints, and it saves
    And all entries are lost, and one starts 1 s later
    And request "a" and part "x" crash another endpoint
    Then the new entry refuses request "a" and part "x"

  Scenario: A suspicion ends as long after its last crash as it would have
    Given a writer of suspicions
    When request "a" and part "x" have crashed 5 endpoints, and it saves
    And all entries are lost, and one starts 200 s later
    And 101 s pass for it
    Then the new entry sends request "a"

  Scenario: What was served since isn't suspected after a loss of all entries
    Given a writer of suspicions
    When request "a" and part "x" have crashed 5 endpoints, and it saves
    And request "a" and part "x" are served, and it saves
    And all entries are lost, and one starts 1 s later
    Then the new entry sends request "a"
    And the new entry sends part "x"

  Scenario: A part that had been served before still takes five crashes
    Given a writer of suspicions
    When part "x" is served, and crashes 4 endpoints 10 s later, and it saves
    And all entries are lost, and one starts 1 s later
    Then the new entry sends part "x"

  Scenario: It writes only what has changed, and a bounded value
    Given a writer of suspicions
    When 1000 requests and parts have crashed 2 endpoints each, and it saves 50 times
    Then it has written 1 time, less than 32768 bytes

  Scenario: Requests and parts with one crash aren't written
    Given a writer of suspicions
    When 1000 requests and parts have crashed 1 endpoint each, and it saves 50 times
    Then it has written 0 times, less than 32768 bytes

  Scenario: A store that was restored from an older copy gets them again
    Given a writer of suspicions
    When request "a" and part "x" have crashed 5 endpoints, and it saves
    And the store is restored from an empty copy, and it saves
    And all entries are lost, and one starts 1 s later
    Then the new entry refuses request "a" and part "x"

  Scenario: An entry that can't read them yet doesn't overwrite them, and reads them later
    Given a writer of suspicions
    When request "a" and part "x" have crashed 5 endpoints, and it saves
    And all entries are lost, and one runs for 0.2 s without the store and 2 s with it
    Then the new entry refuses request "a" and part "x"
    And the store still has request "a" and part "x"

  Scenario Outline: An odd record is skipped with one line, and the others are restored
    Given a writer of suspicions
    When request "a" and part "x" have crashed 5 endpoints, and it saves
    And another has added <what>
    And all entries are lost, and one starts 1 s later
    Then the new entry refuses request "a" and part "x"
    And the new entry knows 1 request and 1 part
    And one line says that 1 saved suspicion is invalid

    Examples:
      | what                            |
      | a request of another type       |
      | a request with a long name      |
      | a request at a negative time    |
      | a request at a huge time        |
      | a request with many endpoints   |
      | a request with an odd endpoint  |
      | a part of another type          |
      | a part without crashes          |
      | a part with a long name         |
      | a part at a negative time       |
      | a part with many common parts   |
      | a part served at a huge time    |

  Scenario Outline: An entry starts without suspicions if the value is odd
    Given a writer of suspicions
    When the value is <value>, and an entry starts
    Then the new entry knows 0 requests and 0 parts

    Examples:
      | value           |
      | missing         |
      | no JSON         |
      | of another type |
      | deeply nested   |
      | too large       |
