Feature: Orders and plans are followed in their order

  # An entry that stood still, or lists the topic again, reads an old order late.
  Scenario Outline: Readings of orders are told apart by their places
    Given an order for "v2" read as change <first> of era 1
    When an order for "<target>" is read as <reading> <offset> of era <era>
    Then the newest order is for "<newest>" and is <same>

    Examples:
      | first | target | reading | offset | era | newest | same    |
      | 5     | v2     | change  | 5      | 1   | v2     | the same |
      | 5     | v2     | listing | 40     | 1   | v2     | the same |
      | 5     | v2     | change  | 30     | 1   | v2     | another |
      | 5     | v3     | change  | 30     | 1   | v3     | another |
      | 5     | v1     | listing | 3      | 1   | v2     | the same |
      | 5     | v2     | change  | 2      | 2   | v2     | the same |
      | 5     | v3     | change  | 2      | 2   | v3     | another |

  # A roll-out that goes on after it was rolled back.
  Scenario: A final plan isn't replaced by a later one of the same order
    Given a plan for "v2" with number 3.4 and phase "rolled_back"
    When a plan for "v2" with number 9.1 and phase "full" is heard
    Then the plan has the phase "rolled_back"

  # An entry that misses the end of a trial.
  Scenario Outline: An entry without a fresh plan sends the target nothing in a trial
    Given an entry with endpoints of "v1" and "v2" and an order for "v2"
    When a plan with phase "<phase>" and share <share> was stated <age> s ago
    Then <part> of 1000 new requests go to "v2"

    Examples:
      | phase       | share | age | part        |
      | trial       | 0.08  | 0.5 | 30 to 140   |
      | trial       | 0.08  | 2.5 | 0 to 0      |
      | full        | 1.0   | 2.5 | 1000 to 1000 |
      | completed   | 1.0   | 60  | 1000 to 1000 |
      | rolled_back | 0.0   | 0.5 | 0 to 0      |

  # A repeat of a request that the target failed must not meet the target again.
  Scenario: Repeats don't go to the target in a trial
    Given an entry with endpoints of "v1" and "v2" and an order for "v2"
    When a plan with phase "trial" and share 0.08 was stated 0.5 s ago
    Then no repeat goes to "v2"

  # An entry that knows an order but no plan yet, as after its start.
  Scenario: Without a plan the target gets nothing
    Given an entry with endpoints of "v1" and "v2" and an order for "v2"
    Then 0 to 0 of 1000 new requests go to "v2"

  # Endpoints of the target are all that there is, as after a completed roll-out.
  Scenario: Without a plan the only version gets requests
    Given an entry with endpoints of "v2" and "v2" and an order for "v2"
    Then any version may get new requests

  # The shares and excluded versions of special orders.
  Scenario Outline: The first plan of an order
    Given the last plan was for "<before>" with phase "<phase>"
    And endpoints of <versions> are ready
    When an order for "<target>" is followed
    Then its plan has the phase "<first>" and excludes "<excluded>"

    Examples:
      | before | phase       | versions | target | first | excluded |
      | -      | -           | v1,v2    | v2     | trial |          |
      | -      | -           | v1       | v2     | trial |          |
      | -      | -           | v2       | v2     | full  |          |
      | v2     | completed   | v2,v3    | v3     | trial |          |
      | v2     | rolled_back | v1,v2,v3 | v3     | trial | v2       |
      | v2     | trial       | v1,v2,v3 | v3     | trial | v2       |
      | v2     | trial       | v1,v2    | v1     | full  | v2       |
      | v2     | rolled_back | v1,v2    | v2     | trial |          |

  # A restore of the store brings an older order back until the operator has written the
  # newer one again; its target would get all requests at once.
  Scenario: A target that isn't proven goes on being tried after another order
    Given a last plan that excluded "v3" and tried "v2"
    And endpoints of v2,v3 are ready
    When an order for "v3" is followed
    Then its plan has the phase "trial" and excludes ""

  # A roll-out that never ends, as its target's endpoints are gone.
  Scenario: All requests go back when the target's endpoints don't return
    Given the last plan was for "v2" with phase "full"
    And endpoints of v1 are ready
    When 30 s have passed since the order
    Then the plan has now the phase "rolled_back"

  # An order that is withdrawn goes on.
  Scenario: A withdrawn order is rolled back, and its target stays excluded
    Given the last plan was for "v2" with phase "trial"
    And endpoints of v1,v2 are ready
    When the order is withdrawn
    Then the plan has the phase "rolled_back" and follows the withdrawal
