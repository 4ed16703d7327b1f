Feature: A failed request is explained from its id

  Scenario: Each way to end a request leaves the line that explains it
    Then each ending of a request is explained with its deciding input

  Scenario: Lines of many entries become one timeline
    Given logs of two entries, each line prefixed by another program
    Then the request's lines come in order, and no other's

  Scenario: A request that its entry took along is explained by the entry's end
    Given logs of an entry that ended without a stop while it had a request
    Then the cause names the entry, and when it was back

  Scenario: A request that reached no entry is told with the entries that were gone
    Given logs of an entry that ended without a stop while it had a request
    Then asking for a request that nobody logged names the entry that was gone

  Scenario: A caller's text can't forge a line or a field
    Then no reason that a caller chooses changes what is explained

  Scenario: Failures are summed by cause, second and endpoint
    Given logs of two entries, each line prefixed by another program
    Then the sums name the cause, the second and the endpoint

  Scenario: A flood of lines neither blocks nor grows, and failures go first
    Given an outlet whose reader has stopped
    When 50000 lines and 100 warnings are logged
    Then logging took less than 5 s and at most 8000 lines are kept
    When the reader goes on
    Then every warning arrives, and a line says how many were dropped
