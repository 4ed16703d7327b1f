Feature: An endpoint that names a limit gets no more requests than that

  Callers send requests to six entries of two data centres; app-1 and app-2 serve them.

  # Nine entries sent an endpoint 35 requests in 4 s that had named a limit of 1 a second.
  Scenario Outline: The limit holds over all entries together
    Given 2 data centres of 3 entries with callers that send 60 requests a second
    When app-1 names a limit of <limit> requests a second
    Then app-1 gets no more than its limit allows for 8 s after the contact time
    And all requests were served meanwhile

    Examples:
      | limit |
      | 0.5   |
      | 1     |
      | 10    |

  # The callers waited, or got errors, where no endpoint could take their requests.
  Scenario: Callers are refused at once where all endpoints have reached their limits
    Given 2 data centres of 3 entries with callers that send 60 requests a second
    When app-1 names a limit of 4 requests a second
    And app-2 names a limit of 6 requests a second
    Then app-1 gets no more than its limit allows for 8 s after the contact time
    And app-2 gets no more than its limit allows for 1 s after the contact time
    And at least 5 requests a second were served meanwhile
    And the others were refused within 0.3 s, with a time to retry

  # A limit that was lifted was kept by the entries that got no answer since.
  Scenario: An endpoint that stops naming its limit gets its share again
    Given 2 data centres of 3 entries with callers that send 60 requests a second
    When app-1 names a limit of 1 requests a second
    And 4 s pass
    And app-1 names no limit
    And 4 s pass
    Then app-1 gets a third of the requests or more for 2 s

  # Shares that each entry may save up added to more than the limit allows.
  Scenario: For any limit and number of entries the shares keep to it
    Then any 1 to 90 entries that send as much as they may keep to any limit
