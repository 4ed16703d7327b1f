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

  # Guards against work for such an endpoint if its record names no start.
  Scenario: An endpoint without the time of its start stays away until it is removed
    Given endpoints e-1 and e-2 without the times of their starts
    When e-1 says in an answer that it leaves
    And e-1 writes its record again
    Then e-2 may get work
    When the record of e-1 is removed
    And e-1 writes its record again
    Then e-1, e-2 may get work

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
