Feature: Hostile input to the HTTP API and to settings

  Scenario: Random requests cause no server error, traceback or leak
    Given one entry in process
    When 500 random requests are sent twice over raw connections
    Then no answer was a server error and nothing was logged with a traceback
    And the second run left no more tasks, connections or metric lines than the first

  Scenario: Large, slow and missing request heads are limited
    Given one entry in process with header and body timeouts of half a second
    Then a head of 40000 bytes is answered 431, in one piece or in many
    And a connection that sends its head too slowly, or nothing, is closed
    And a body that arrives too slowly is answered 408 as not run
    And a valid request is answered

  Scenario: One organisation can't hold all connections
    Given one entry in process where an organisation may hold 3 connections
    When biblioteca-brasov holds 3 connections
    Then its next connection is answered 429 and scoala-alba is served
    When one of the connections is closed
    Then its next connection is served

  Scenario: Random settings are accepted or refused with a message of one line
    Then 150 random settings and 50 random files are accepted or refused with one line
