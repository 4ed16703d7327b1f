Feature: The HTTP surface and settings under hostile input

  Scenario: Random requests get no server error, leave no traceback and nothing behind
    Given one entry in process
    When 500 drawn requests are sent twice over raw connections
    Then no answer was a server error and nothing was logged with a traceback
    And the second time left no more tasks, connections or metric lines than the first

  Scenario: Large, slow and idle heads are bounded
    Given one entry in process that gives headers half a second
    Then a head of 40000 bytes is answered 431, in one piece or in many
    And a connection that sends its head too slowly, or nothing, is closed
    And a body that comes too slowly is answered 408 as not run
    And a good request is answered

  Scenario: One organisation can't hold all connections
    Given one entry in process where an organisation may hold 3 connections
    When biblioteca-brasov holds 3 connections
    Then its next connection is answered 429 and scoala-alba is served
    When one of the connections is closed
    Then its next connection is served

  Scenario: Random settings are accepted or refused with one line
    Then 150 drawn settings and 50 drawn files give settings or one line
