Feature: A stream isn't taken up by guess at an entry that was out of step

  Callers take streams up at an entry that can't know where these began, or knows it
  only from a view that is older than what has happened. It finds out, or refuses.

  # Review case 1: a view as old as the cut proved that only one version served (ORDER).
  Scenario: A release while an entry is cut off, and the others end
    Given six entries that have known endpoints of v1 for as long as streams run
    When an entry is cut off from the store and the others
    And endpoints of v2 join
    And streams begin at the other entries
    And the other entries end
    And callers take the streams up there 3 times, naming their attempts
    Then no stream holds events of two versions
    And streams that don't go on are refused within 1 s, to be retried soon

  # The same as the cut ends: the first calls come before the entry has read anything.
  Scenario: A release while an entry is cut off, and streams are taken up after the cut
    Given six entries that have known endpoints of v1 for as long as streams run
    When an entry is cut off from the store and the others
    And endpoints of v2 join
    And streams begin at the other entries
    And the other entries end
    And that entry is back in touch
    And callers take the streams up there 8 times, naming their attempts
    Then no stream holds events of two versions
    And 0.9 of the streams that were taken up go on

  # An entry that stood still took what it knew before for what serves now (ORDER).
  Scenario Outline: A release while an entry stands still, and the others end
    Given six entries with streams at v1, of which <role> may stand still
    When it stands still
    And endpoints of v2 join
    And streams begin at the other entries
    And the other entries end
    And callers take the streams up as it goes on after <pause> s, <naming>
    Then no stream holds events of two versions
    And <share> of the streams that were taken up go on

    Examples:
      | role      | pause | naming                | share |
      | one entry | 2.5   | naming their attempts | 0.9   |
      | a reader  | 2.5   | naming their attempts | 0.9   |
      | a reader  | 4     | naming their attempts | 0.9   |
      | a reader  | 2.5   | naming nothing        | 0     |

  # A reader that stood still relayed nothing, and its entries knew no new version (ORDER).
  Scenario: A release while the reader of an entry stands still
    Given six entries with streams at v1, of which the reader of one may stand still
    When it stands still
    And endpoints of v2 join a moment before
    And streams begin at the other entries
    And callers of the other entries lose their connections
    And callers take the streams up there 3 times, naming nothing
    Then no stream holds events of two versions

  # A version that has come and gone during a cut left no trace in the entry's view.
  Scenario: A release is rolled back while an entry is cut off
    Given six entries that have known endpoints of v1 for as long as streams run
    When an entry is cut off from the store and the others
    And endpoints of v2 join
    And streams begin at the other entries
    And endpoints of v2 end
    And 0.8 s pass
    And the other entries end
    And that entry is back in touch
    And 0.6 s pass
    And callers take the streams up there 3 times, naming nothing
    Then no stream holds events of two versions

  # The same with two releases within a stream's time-out.
  Scenario: Two releases while an entry is cut off
    Given six entries that have known endpoints of v1 for as long as streams run
    When an entry is cut off from the store and the others
    And endpoints of v2 join
    And endpoints of v1 end
    And streams begin at the other entries
    And endpoints of v3 join
    And endpoints of v2 end
    And the other entries end
    And that entry is back in touch
    And callers take the streams up there 3 times, naming their attempts
    Then no stream holds events of two versions

  # Review case 2: one of the route's services was drawn, and its version taken (ORDER).
  Scenario Outline: A route leads to two services, and most entries end
    Given six entries that have known endpoints of v1 for as long as streams run
    And endpoints of v2 serve "other", and the route is split in halves
    When streams begin at the other entries
    And the other entries end
    And callers take the streams up there 3 times, <naming>
    Then no stream holds events of two versions
    And <share> of the streams that were taken up go on
    And streams that don't go on are refused within 1 s, to be retried soon

    Examples:
      | naming                | share |
      | naming their attempts | 0.9   |
      | naming nothing        | 0     |

  # Review case 3: a stream whose service was known went on at the new one (ORDER).
  Scenario Outline: A route moves to another service, and an entry ends
    Given six entries that have known endpoints of v1 for as long as streams run
    And endpoints of v2 serve "other", and the route leads to "app"
    When the route moves to "other"
    And streams begin at the other entries
    And the route moves to "app"
    And an entry ends
    And callers of the other entries lose their connections
    And callers take the streams up there 3 times, <naming>
    Then no stream holds events of two versions
    And streams that don't go on are refused within 1 s, to be retried soon

    Examples:
      | naming                |
      | naming their attempts |
      | naming nothing        |

  # A service that moves back looked as if the route had led to it all the time (ORDER).
  Scenario: A route moves to another service and back, and the entries that saw it end
    Given six entries that have known endpoints of v1 for as long as streams run
    And endpoints of v2 serve "other", and the route leads to "app"
    When the route moves to "other"
    And streams begin at the other entries
    And the route moves to "app"
    And the other entries end
    And callers take the streams up there 3 times, naming their attempts
    Then no stream holds events of two versions
