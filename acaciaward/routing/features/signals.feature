Feature: Entries heed what endpoints say of themselves in their answers

  Callers send requests to six entries of two data centres; app-1 and app-2 serve them.
  The store lists both as ready all the while.

  # An endpoint got 104 to 116 requests too late after its answers had said it leaves.
  Scenario Outline: An endpoint that says in its answers that it leaves gets no more work
    Given 2 data centres of 3 entries with callers that send 60 requests a second, each to 3 endpoints at most
    When app-1 says in <answers> that it leaves
    And 6 s pass
    Then no entry that was told sent app-1 a request after the drain time
    And all requests were served

    Examples:
      | answers             |
      | all answers         |
      | half as 503         |
      | 503 refusals only   |

  # Entries that had no answer from an endpoint wasted calls on it.
  Scenario: All entries leave an endpoint that has told one of them that it leaves
    Given 2 data centres of 3 entries with callers that send 60 requests a second, each to 3 endpoints at most
    When app-1 says in answers to one entry that it leaves
    And 6 s pass
    Then no entry sent app-1 a request later than the contact time

  # An endpoint had asked an entry to back off for 3 s, and got up to 25 requests in them.
  Scenario Outline: An endpoint that asks an entry to back off gets none of its requests
    Given 2 data centres of 3 entries with callers that send 60 requests a second, each to 3 endpoints at most
    When app-1 refuses <share> of 100 requests and asks for a back-off of <seconds> s
    And 8 s pass
    Then no entry sent app-1 more than 2 requests during a back-off
    And all requests were served

    Examples:
      | share | seconds |
      | 100   | 3    |
      | 15    | 3    |
      | 100   | 1.25 |

  # Callers' requests went to endpoints that asked to back off, where no other endpoint was left.
  Scenario: Callers are refused at once where all endpoints asked to back off
    Given 2 data centres of 3 entries with callers that send 60 requests a second, each to 3 endpoints at most
    When app-1 refuses 100 of 100 requests and asks for a back-off of 3 s
    And app-2 refuses 100 of 100 requests and asks for a back-off of 3 s
    And 6 s pass
    Then no entry sent app-1 more than 2 requests during a back-off
    And no entry sent app-2 more than 2 requests during a back-off
    And all requests were refused within 0.3 s, with a time to retry

  Scenario: An endpoint whose back-off is over gets its share again
    Given 2 data centres of 3 entries with callers that send 60 requests a second, each to 3 endpoints at most
    When app-1 refuses 100 of 100 requests and asks for a back-off of 2 s
    And 1 s pass
    And app-1 refuses no requests
    And 3 s pass
    Then app-1 gets a third of the requests or more for 2 s
