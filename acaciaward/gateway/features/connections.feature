Feature: Connections that went silent end in time, and those of slow processes live on

  # Guards against calls that wait for their deadline at a peer that takes no bytes.
  Scenario: A connection with data under way that nobody takes is lost after 3 s
    Given an endpoint that reads nothing
    When a call of 20 MB is sent there
    Then its connection is lost after 2.5 to 4 s

  Scenario: A connection to a process that stands still lives on
    Given an endpoint that reads nothing for 2 s, and answers
    When a call of 1 kB is sent there
    Then it is answered

  Scenario: An idle connection that went silent isn't used for long
    Given an endpoint that reads nothing for 0 s, and answers
    When a call of 1 kB is sent there
    And 4.1 s pass on its connection
    Then another call gets a new connection

  # A library or a new module may set an option that ends connections unnoticed.
  Scenario: Each socket option that ends connections stands in the design note
    Then the modules that set such options are those of docs/design/connections.md
