Feature: The places of brittle endpoints are divided among the entries

  Scenario: For any number of entries and places no place is given twice
    Then any 1 to 90 entries have no more places than an endpoint has, and none is unused

  Scenario Outline: Entries that know of different others give few places twice
    Given an endpoint with 8 places that is brittle, and 6 entries
    When one entry <fault>
    Then all entries together have 8 places at most

    Examples:
      | fault                                  |
      | has just started and knows nobody      |
      | is cut off and remembers the others    |
      | has left, and the others remember it   |

  Scenario: A place counts as taken while the endpoint may go on with a request
    Given an endpoint with 2 places that is brittle, and 1 entry
    When a request that took 0.4 s is given up
    Then the entry has room for 1 request for 0.4 s, and for 2 afterwards

  Scenario: Places that others report as taken aren't used
    Given an endpoint with 8 places that is brittle, and 1 entry
    Then the entry has room while others report 7 requests, and none while they report 8

  # A room that is smaller than its record says turns requests away for ever.
  Scenario Outline: Entries that are turned away come back seldom enough
    Given an endpoint that has 2 places of 8, bears <bears> rejections, and <entries> entries
    When they send what they may for 60 s
    Then no second has more rejections than it bears

    Examples:
      | bears | entries |
      | 2     | 2       |
      | 6     | 6       |
      | 12    | 9       |

  Scenario: An endpoint that has just started is as brittle as the others of its service
    Given an endpoint with 8 places that is brittle, and 6 entries
    When another endpoint of its service starts
    Then it counts as brittle, and one of another service doesn't

  # A record that named no start for a moment gave its places a second time.
  Scenario: Calls count and pauses hold whatever start the endpoint's record names
    Given a service whose brittle endpoint has 2 places, and an entry with 2 calls there
    When its record names no start for a moment
    Then the entry has no room there
    And it was logged once that the endpoint is brittle
