Feature: A failed request is explained from its id

  Scenario: Each way to end a request leaves a line that explains it
    Then each ending of a request is explained with its cause

  Scenario: Lines of many entries become one timeline
    Given logs of two entries, each line prefixed by another program
    Then the request's lines come in order, and no other's

  Scenario: A request that was lost with its entry is explained by the entry's outage
    Given logs of an entry that ended without a stop while it had a request
    Then the cause names the entry, and the time of its restart

  Scenario: A request that no entry logged is explained by the entries that were down
    Given logs of an entry that ended without a stop while it had a request
    Then explaining a request that no entry logged names the entry that was down

  Scenario: A caller's text can't forge a line or a field
    Then no reason that a caller chooses changes what is explained

  Scenario: Failures are summed by cause, second and endpoint
    Given logs of two entries, each line prefixed by another program
    Then the sums name the cause, the second and the endpoint

  Scenario: A flood of lines neither blocks nor uses unbounded memory, and warnings go first
    Given a buffered log handler whose reader has stopped
    When 50000 lines and 100 warnings are logged
    Then logging took less than 5 s and at most 8000 lines are kept
    When the reader resumes
    Then every warning arrives, and a line says how many were dropped
