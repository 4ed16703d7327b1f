Feature: A stopping entry asks its callers to leave at once

  # Requests were taken as if the entry didn't stop until a lost peer's probe had timed out.
  Scenario: A peer that has just gone doesn't delay the stop
    Given a demonstration of two entries, one of which has just gone
    Then the other asks callers within 0.2 s of its stop to close their connections
