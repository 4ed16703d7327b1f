Feature: Which endpoints exist, and which route a request takes

  Scenario: The longest prefix of the request's host wins
    Given routes "/a/" and "/a/b/" of shop.example and "/" of other.example
    Then "/a/b/c" of shop.example takes "/a/b/"
    And "/a/x" of SHOP.example takes "/a/"
    And "/x" of shop.example takes no route

  Scenario: A removed endpoint gets no new work at once
    Given endpoints e-1 and e-2
    When the record of e-1 is removed
    Then e-2 may get work

  Scenario: An endpoint that lapsed during an outage is the last resort for two seconds
    Given endpoints e-1 and e-2
    When the store fails
    And the record of e-1 is removed
    Then e-2 may get work
    And e-1 may get work if there is no other
    When 2.1 s pass
    Then e-2 may get work
    And none may get work if there is no other

  Scenario: An endpoint that renews its record after an outage gets work again
    Given endpoints e-1 and e-2
    When the store fails
    And the record of e-1 is removed
    And 1 s pass
    And e-1 writes its record again
    And 2 s pass
    Then e-1, e-2 may get work

  Scenario: A leaving endpoint gets no new work
    Given endpoints e-1 and e-2
    When e-1 reports that it is leaving
    Then e-2 may get work

  # Guards against work for a leaving endpoint when the store's outage lets it lapse.
  Scenario: A leaving endpoint isn't the last resort when it lapses
    Given endpoints e-1 and e-2
    When e-1 reports that it is leaving
    And the store fails
    And the record of e-1 is removed
    Then e-2 may get work
    And none may get work if there is no other

  # Guards against work for an endpoint that left and that a restored store lists again.
  Scenario: An endpoint that was leaving gets no work again from an older copy
    Given endpoints e-1 and e-2
    When e-1 reports that it is leaving
    And an older copy of the store lists all as ready
    Then e-2 may get work
    When the record of e-1 is removed
    And an older copy of the store lists all as ready
    Then e-2 may get work
    When e-1 starts again
    Then e-1, e-2 may get work

  # Guards against work for an endpoint whose answers say that it leaves, as its record
  # is ready for seconds.
  Scenario: An endpoint that says in an answer that it leaves gets no work by its record
    Given endpoints e-1 and e-2
    When e-1 says in an answer that it leaves
    And 61 s pass
    And e-1 writes its record again
    Then e-2 may get work
    And e-1 is told to peers as leaving
    When e-1 starts again
    Then e-1, e-2 may get work
    And none is told to peers as leaving

  # Guards against work for such an endpoint when its record is back after an outage.
  Scenario: An endpoint that says that it leaves while its record is missing stays away
    Given endpoints e-1 and e-2
    When the record of e-1 is removed
    And e-1 says in an answer that it leaves
    And e-1 writes its record again
    Then e-2 may get work

  # Guards against an endpoint that stays listed since it said that it leaves.
  Scenario: A lapsed endpoint that says that it leaves is removed all the same
    Given endpoints e-1 and e-2
    When the store fails
    And the record of e-1 is removed
    And e-1 says in an answer that it leaves
    Then e-2 may get work
    And none may get work if there is no other
    When 2.1 s pass
    Then e-1 is listed no more

  # Guards against work for such an endpoint as its record, which names no start, comes back.
  Scenario: An endpoint without the time of its start stays away until a later start is known
    Given endpoints e-1 and e-2 without the times of their starts
    When e-1 says in an answer that it leaves
    And e-1 writes its record again
    Then e-2 may get work
    When the record of e-1 is removed
    And 70 s pass
    And e-1 writes its record again
    Then e-2 may get work
    When e-1 starts again
    Then e-1, e-2 may get work

  # Guards against work for an endpoint whose record was missing for longer than a minute.
  Scenario: An endpoint that says that it leaves stays away when its record is back late
    Given endpoints e-1 and e-2
    When e-1 says in an answer that it leaves
    And the record of e-1 is removed
    And 70 s pass
    And e-1 writes its record again
    Then e-2 may get work
    And e-1 is told to peers as leaving

  # Guards against work for an endpoint that was booked as leaving under its former start.
  Scenario: An endpoint whose start is listed after it has said that it leaves stays away
    Given endpoints e-1 and e-2
    When e-1 says in an answer that it leaves
    And a peer says that e-1 leaves
    And 2 s pass
    And the record of e-1 names a start 4 s ago
    Then e-2 may get work
    And e-1 is told to peers as leaving
    When 601 s pass
    And the record of e-1 names a start 605 s ago
    Then e-1, e-2 may get work

  # Guards against work for an endpoint whose record says "ready" again after "draining".
  Scenario: An endpoint without the time of its start that was draining stays away
    Given endpoints e-1 and e-2 without the times of their starts
    When e-1 reports that it is leaving
    And e-1 writes its record again
    Then e-2 may get work
    And e-1 is told to peers as leaving

  Scenario: What a peer says of a start isn't held against a later one
    Given endpoints e-1 and e-2
    When a peer says that e-1 leaves
    And the record of e-1 names a start 4 s ago
    Then e-1, e-2 may get work

  Scenario: Departures of endpoints that come and go are remembered within bounds
    Given endpoints e-1 and e-2
    When 10000 endpoints come, say that they leave and go
    Then the departures of 4096 endpoints at most are remembered

  Scenario: What another entry was told isn't told on
    Given endpoints e-1 and e-2
    When a peer says that e-1 leaves
    Then e-2 may get work
    And none is told to peers as leaving

  Scenario: An endpoint whose record says that it leaves, too, isn't told on
    Given endpoints e-1 and e-2
    When e-1 says in an answer that it leaves
    And e-1 reports that it is leaving
    Then e-2 may get work
    And none is told to peers as leaving

  Scenario: A new start under an old name is another incarnation
    Given endpoints e-1 and e-2
    When another server answers at the address of e-1
    Then e-2 may get work
    When e-1 starts again
    Then e-1, e-2 may get work

  Scenario: An endpoint whose record can't be decoded is removed, and the others stay
    Given endpoints e-1 and e-2
    When the record of e-1 can't be decoded
    Then e-2 may get work

  # An entry that was cut off took the version that it knew for the only one (ORDER).
  Scenario: A version that joined since the endpoints were followed counts
    Given an endpoint of v1 that has been followed for 20 s
    When the store lists v1 and v2
    Then no version is the only one of the last 15 s
    When the store lists v1
    Then v1 is the only one of the last 15 s

  # A version that had come and gone unseen had begun streams all the same (ORDER).
  Scenario: A version may have come and gone while the endpoints weren't read
    Given an endpoint of v1 that has been followed for 20 s
    When the endpoints aren't read for 4 s
    And the store lists v1
    Then no version is the only one of the last 15 s
    When the endpoints are followed for 16 s
    And the store lists v1
    Then v1 is the only one of the last 15 s

  Scenario: Changes that were all read late leave no gap
    Given an endpoint of v1 that has been followed for 20 s
    When the endpoints aren't read for 4 s, and then all changes are
    And the store lists v1
    Then v1 is the only one of the last 15 s

  # A route that had moved back looked as if it had always led there (ORDER).
  Scenario: Services to which a path has led are remembered while its streams run
    Given a route that leads to a, then for 5 s to b, then to a again
    Then a path has led to a, b within 15 s
    And a, b share a route
    When 16 s go by
    Then a path has led to a within 15 s
    And none share a route

  Scenario: Services of a route that is split share it as long as it is
    Given a route that leads to a and b
    When 100 s go by
    Then a path has led to a, b within 15 s
    And a, b share a route
