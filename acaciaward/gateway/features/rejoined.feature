Feature: Streams go on at their version after all entries were lost

  All entries end at once, so that none remembers which version began a stream. Their
  callers take the streams up as soon as entries are back. Each is to go on where its
  version has endpoints, and none at another version.

  # All take-ups were refused: of 127 none went on (LOST).
  Scenario: Two versions serve while all entries are lost
    Given 2 data centres of 3 entries, 4 endpoints of each of two versions, and streams
    And entries have known the endpoints for as long as streams run
    When all entries end at once, 2 times, and are back after 0.3 s
    Then no more than 0 streams hold events of two versions
    And the streams that were taken up go on 0.9 times as often as new ones begin

  Scenario: One version serves while all entries are lost
    Given 2 data centres of 3 entries, 4 endpoints, and streams
    And entries have known the endpoints for as long as streams run
    When all entries end at once, 2 times, and are back after 0.3 s
    Then the streams that were taken up go on 0.9 times as often as new ones begin

  Scenario: All entries are lost before the endpoints have been known for as long as streams run
    Given 2 data centres of 3 entries, 4 endpoints, and streams
    When all entries end at once, 1 times, and are back after 0.3 s
    Then the streams that were taken up go on 0.9 times as often as new ones begin

  Scenario: A release began just before all entries are lost
    Given 2 data centres of 3 entries, 4 endpoints, and streams
    And entries have known the endpoints for as long as streams run
    When endpoints of a second version join, and 0.5 s pass
    And all entries end at once, 1 times, and are back after 0.3 s
    Then no more than 0 streams hold events of two versions
    And the streams that were taken up go on 0.9 times as often as new ones begin

  Scenario: A release began a moment before all entries are lost
    Given 2 data centres of 3 entries, 4 endpoints, and streams
    And entries have known the endpoints for as long as streams run
    When endpoints of a second version join, and 2 s pass
    And all entries end at once, 1 times, and are back after 0.3 s
    Then no more than 0 streams hold events of two versions
    And the streams that were taken up go on 0.9 times as often as new ones begin

  Scenario: A release begins while all entries are down
    Given 2 data centres of 3 entries, 4 endpoints, and streams
    And entries have known the endpoints for as long as streams run
    When endpoints of a second version join while all entries are down for 0.3 s
    Then no more than 0 streams hold events of two versions
