Feature: A request that crashes endpoints stays contained, and sound ones are served

  Six entries of two data centres get streams of callers, which repeat a request once. One
  request is sent again and again, at any entry, and crashes the endpoints that run it.

  # A crash later than half a second into an answer was never counted (BUDGET, review 5).
  Scenario: A request that crashes endpoints a second into its answer is refused
    Given 2 data centres of 3 entries with 8 endpoints and callers that stream 20 a second, of 100 events
    When a request that crashes endpoints 1 s into its answer is sent 8 times, 1 s apart
    Then it arrives no more than 3 times later than the contact time after its third crash
    And no sound request is refused for crashes

  # Crashes under other requests must neither hide the request nor accuse sound ones.
  Scenario: It is refused while other endpoints crash, too
    Given 2 data centres of 3 entries with 8 endpoints and callers that stream 20 a second, of 100 events
    And an endpoint crashes by itself every 2 s
    When a request that crashes endpoints 1 s into its answer is sent 8 times, 1 s apart
    Then it arrives no more than 3 times later than the contact time after its third crash
    And no sound request is refused for crashes

  # Requests that met three crashes by chance are no cause.
  Scenario: No request is suspected in a release that crashes on 5 in 100 requests
    Given 2 data centres of 3 entries with 8 endpoints and callers that stream 40 a second, of 10 events
    When all endpoints are released, and 5 in 100 runs crash the new ones for 12 s
    Then no sound request is refused for its own crashes

  # Entries that never served a part blamed it after three crashes, whatever else crashed.
  Scenario: Nor is any refused for a part of its prompt
    Given 2 data centres of 3 entries with 8 endpoints and callers that stream 40 a second, of 10 events
    When all endpoints are released, and 5 in 100 runs crash the new ones for 12 s
    Then no sound request is refused for crashes

  # After each loss of all entries, a request that all had refused crashed four more (BUDGET).
  Scenario: A refused request stays refused after all entries were lost, twice
    Given 2 data centres of 3 entries with 8 endpoints and callers that stream 10 a second, of 10 events
    When a request that crashes endpoints 0 s into its answer is sent 4 times, 0.5 s apart
    And all entries are lost, and the request is sent 4 times, 2 times over
    Then it arrives no more than 3 times later than the contact time after its third crash
    And no sound request is refused for crashes

  Scenario: It is the same where it crashes endpoints a second into its answer
    Given 2 data centres of 3 entries with 8 endpoints and callers that stream 10 a second, of 10 events
    When a request that crashes endpoints 1 s into its answer is sent 4 times, 0.5 s apart
    And all entries are lost, and the request is sent 4 times, 2 times over
    Then it arrives no more than 3 times later than the contact time after its third crash
    And no sound request is refused for crashes

  Scenario: A refused part of prompts stays refused after all entries were lost, twice
    Given 2 data centres of 3 entries with 8 endpoints and callers that stream 40 a second, of 10 events
    When a part crashes endpoints, in 6% of the requests
    And 8 s pass, and all entries are lost, 2 times over
    Then no more than 3 such requests arrive later than the contact time after the fifth crash

  # What the old servers had answered was never suspected: 34 arrivals (BUDGET).
  Scenario: A request that was served crashes the endpoints of a new version
    Given 2 data centres of 3 entries with 8 endpoints and callers that stream 10 a second, of 10 events
    When a request is served, and crashes endpoints of a new version once all are released
    And it is sent 8 times, 1 s apart
    Then it arrives no more than 3 times later than the contact time after its third crash
    And no sound request is refused for crashes

  Scenario: A request is served by one version and crashes endpoints of another beside it
    Given 2 data centres of 3 entries with 8 endpoints and callers that stream 10 a second, of 10 events
    When a request is served, and crashes endpoints of a new version beside the old one
    And it is sent 12 times, 1 s apart
    Then it arrives no more than 3 times later than the contact time after its third crash
    And no sound request is refused for crashes
