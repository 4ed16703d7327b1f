Feature: Calls wait in order for places at brittle endpoints

  # They got 503 though there was room: the first in the queue waited for another endpoint.
  Scenario: A call that waits for another endpoint holds up none that has room
    Given a brittle endpoint with room, and one that turned a request away
    When a call that may have run waits, after the first endpoint was tried
    And 4 more calls come
    Then each of them is sent at once

  Scenario: Calls that have no room are refused soon
    Given a brittle endpoint with room, and one that turned a request away
    When 2 calls come after the first endpoint was tried
    Then each of them is refused within 0.4 s
