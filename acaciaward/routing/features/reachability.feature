Feature: An entry knows whether its links reach the endpoints of a service

  Background:
    Given 6 endpoints of app and 4 of web

  Scenario: One endpoint that takes no connection is no cut
    When 1 endpoint of app takes no connection, 5 times
    Then app is reached

  # Entries took endpoints that had ended together for a cut of their own, and refused
  # every call though other endpoints served.
  Scenario: Some endpoints that take no connection lead to probes, these show no cut
    When 3 endpoints of app take no connection
    Then app is reached
    When 0.1 s pass in which probes work
    Then app is reached
    And 3 probes were made

  Scenario: Endpoints that have ended together aren't probed all the time
    When 3 endpoints of app take no connection
    And 0.1 s pass in which probes work
    And 3 endpoints of app take no connection
    And 1 s pass in which probes work
    Then 3 probes were made

  Scenario: Some endpoints that take no connection lead to probes, these show the cut
    When 3 endpoints of app take no connection
    And 0.1 s pass in which probes fail
    Then app is cut off

  # An entry tried 13 endpoints for each call while all of them were cut off (RECOVER).
  Scenario: All endpoints that take no connection are a cut
    When 6 endpoints of app take no connection
    Then app is cut off
    And web is reached
    And the entry is isolated
    And the service's connections were dropped once

  Scenario: All endpoints are enough if there are only two
    Given only 2 endpoints of app are left
    When 2 endpoints of app take no connection
    Then app is cut off

  Scenario: The only endpoint of a service is no cut by itself
    Given only 1 endpoint of app is left
    When 1 endpoint of app takes no connection, 5 times
    Then app is reached

  # One failed connection let a service count as cut off whose other endpoints served.
  Scenario: Beside another service's cut, one endpoint of several is no cut
    When 6 endpoints of app take no connection
    And 1 endpoint of web takes no connection
    Then web is reached

  Scenario: Beside another service's cut, the only endpoint of a service is enough
    Given only 1 endpoint of app is left
    When 4 endpoints of web take no connection
    And 1 endpoint of app takes no connection
    Then app is cut off

  # An entry left discovery, and got no detours, though it served another service.
  Scenario: An entry that gets data from another service isn't isolated
    When 6 endpoints of app take no connection
    And an endpoint of web sends data
    Then app is cut off
    And the entry isn't isolated

  Scenario: An endpoint that sends data in between shows that there is no cut
    When 2 endpoints of app take no connection
    And an endpoint of app sends data
    And 2 endpoints of app take no connection
    Then app is reached

  # Entries dropped the open connections to endpoints that take no more.
  Scenario: Endpoints that send data on open connections aren't cut off
    When an endpoint of app sends data
    And 6 endpoints of app take no connection
    Then app is reached
    When 1 s pass in which probes fail
    Then app is cut off

  Scenario: Failures of long ago don't count
    When 2 endpoints of app take no connection
    And the clock advances by 6 s
    And endpoint 3 of app takes no connection
    Then app is reached

  # Open connections may live on while new ones are refused.
  Scenario: Data on connections from before a cut doesn't end it
    When 6 endpoints of app take no connection
    And an endpoint of app sends data
    Then app is cut off

  Scenario: A connection ends a cut
    When 6 endpoints of app take no connection
    And the clock advances by 2 s
    And an endpoint of app takes a connection
    Then app is reached
    And the entry isn't isolated

  Scenario: A service that other endpoints of are connected to isn't isolation
    When 6 endpoints of app take no connection
    And an endpoint of web takes a connection
    Then app is cut off
    And the entry isn't isolated

  Scenario: A service that is cut off is probed twice a second, at each endpoint in turn
    When 6 endpoints of app take no connection
    Then probes in the next 3 s go to each endpoint of app once

  Scenario: Nothing is probed while endpoints answer
    Given endpoints of app have work and send nothing
    When endpoints of web send data for 5 s
    Then nothing was probed

  # With all connections hanging and no call that connects, nothing failed for seconds.
  Scenario: Silence leads to probes, and these show the cut
    Given endpoints of app have work and send nothing
    When 2 s pass in which probes fail
    Then app is cut off

  Scenario: Silence alone is no cut
    Given endpoints of app have work and send nothing
    When 5 s pass in which probes work
    Then app is reached
    And at most 3 probes were made

  Scenario: A service without endpoints isn't cut off
    When 6 endpoints of app take no connection
    And all endpoints of app end
    Then app is reached
