Feature: What endpoints say in their answers holds whatever becomes of their records

  Callers send requests to six entries of two data centres; app-1 and app-2 serve them.
  Records of endpoints come and go, as other writers and outages of the store let them.

  # Rest that an endpoint had asked for ended as its record went, with up to 5 requests in it.
  Scenario Outline: A back-off holds whatever happens to the endpoint's record
    Given 2 data centres of 3 entries with callers that send 60 requests a second, each to 3 endpoints at most
    When the record of app-1 <record> each 0.7 s
    And app-1 refuses 100 of 100 requests and asks for a back-off of 3 s
    And 8 s pass
    Then no entry sent app-1 more than 2 requests during a back-off

    Examples:
      | record                                       |
      | goes and comes back                          |
      | can't be read in between                     |
      | names no start in between                    |
      | goes and comes back, and never names a start |
      | goes while the store fails                   |
      | is restored from an older copy               |

  # An endpoint got requests again after its answers had said it leaves, as its record came back.
  Scenario Outline: An endpoint that says that it leaves stays away whatever happens to its record
    Given 2 data centres of 3 entries with callers that send 60 requests a second, each to 3 endpoints at most
    When the record of app-1 <record> each 0.7 s
    And app-1 says in all answers that it leaves
    And 6 s pass
    Then no entry that was told sent app-1 a request after the drain time

    Examples:
      | record                                       |
      | goes and comes back                          |
      | can't be read in between                     |
      | names no start in between                    |
      | goes and comes back, and never names a start |
      | goes while the store fails                   |
      | is restored from an older copy               |

  # An endpoint got requests 2.5 s after it had said that it leaves, as its start was listed late.
  Scenario: An endpoint whose start is listed after it has said that it leaves stays away
    Given 2 data centres of 3 entries with callers that send 60 requests a second, each to 3 endpoints at most
    When app-1 has started anew, and the store lists its former start for 2 s more
    And app-1 says in all answers that it leaves
    And 6 s pass
    Then no entry that was told sent app-1 a request after the drain time

  # Guards against an endpoint that is avoided for ever for what its former start has said.
  Scenario: An endpoint that starts anew after it has said that it leaves gets its share
    Given 2 data centres of 3 entries with callers that send 60 requests a second, each to 3 endpoints at most
    When app-1 says in all answers that it leaves
    And 3 s pass
    And app-1 starts anew and says nothing more
    And 3 s pass
    Then app-1 gets a third of the requests or more for 2 s

  # A named limit ended as the record went, and each entry sent what it liked.
  Scenario Outline: A limit holds whatever happens to the endpoint's record
    Given 2 data centres of 3 entries with callers that send 60 requests a second, each to 3 endpoints at most
    When the record of app-1 <record> each 0.7 s
    And app-1 names a limit of 1 requests a second
    Then app-1 gets no more than its limit allows for 6 s after the contact time

    Examples:
      | record                                       |
      | goes and comes back                          |
      | names no start in between                    |
      | goes and comes back, and never names a start |
      | goes while the store fails                   |
