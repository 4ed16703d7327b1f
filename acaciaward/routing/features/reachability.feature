Feature: An entry knows whether its links reach the endpoints of a service

  Background:
    Given 6 endpoints of app and 4 of web

  Scenario: One endpoint that takes no connection is no cut
    When 1 endpoint of app takes no connection, 5 times
    Then app is reached

  # An entry tried 13 endpoints for each call while all of them were cut off (RECOVER).
  Scenario: Several endpoints that take no connection are a cut
    When 3 endpoints of app take no connection
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

  Scenario: Beside another service's cut, one endpoint is enough
    When 3 endpoints of app take no connection
    And 1 endpoint of web takes no connection
    Then web is cut off

  Scenario: An endpoint that sends data in between shows that there is no cut
    When 2 endpoints of app take no connection
    And an endpoint of app sends data
    And 2 endpoints of app take no connection
    Then app is reached

  Scenario: Failures of long ago don't count
    When 2 endpoints of app take no connection
    And the clock advances by 6 s
    And endpoint 3 of app takes no connection
    Then app is reached

  # Open connections may live on while new ones are refused.
  Scenario: Data on connections from before a cut doesn't end it
    When 3 endpoints of app take no connection
    And an endpoint of app sends data
    Then app is cut off

  Scenario: A connection ends a cut
    When 3 endpoints of app take no connection
    And the clock advances by 2 s
    And an endpoint of app takes a connection
    Then app is reached
    And the entry isn't isolated

  Scenario: A service that other endpoints of are connected to isn't isolation
    When 3 endpoints of app take no connection
    And an endpoint of web takes a connection
    Then app is cut off
    And the entry isn't isolated

  Scenario: A service that is cut off is probed twice a second, at each endpoint in turn
    When 3 endpoints of app take no connection
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
    When 3 endpoints of app take no connection
    And all endpoints of app end
    Then app is reached
