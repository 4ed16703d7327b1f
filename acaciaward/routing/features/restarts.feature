Feature: Nothing that is known of an endpoint's former start holds for a later one

  Background:
    Given endpoint e-1 with 4 slots, which started at 100 s

  # An endpoint that started again within a second was avoided for ten minutes.
  Scenario Outline: What an endpoint said just before it started again ends soon
    When e-1 says at 200 s that it <statement>
    And e-1 is listed as started at <start> s
    Then e-1 gets work <after> s later

    Examples:
      | statement           | start | after |
      | leaves              | 200.6 | 6     |
      | wants 30 s off      | 200.6 | 6     |
      | leaves              | 203   | 0     |
      | wants 30 s off      | 203   | 0     |

  # Guards against work for an endpoint that said so itself and whose clock is ahead.
  Scenario Outline: What may have been said by the later start holds for a while
    When e-1 says at 200 s that it <statement>
    And e-1 is listed as started at <start> s
    Then e-1 gets no work <after> s later

    Examples:
      | statement      | start | after |
      | leaves         | 199.5 | 500   |
      | leaves         | 200.6 | 4     |
      | wants 30 s off | 200.6 | 4     |

  # Guards against an endpoint that gets nothing as others' work at its former start counts.
  Scenario Outline: Work that others had at the former start doesn't count
    When other entries report 9 calls with 50000 tokens at e-1
    And e-1 <restart> as started at 203 s
    And other entries report 9 calls with 50000 tokens at e-1
    Then 0 calls with 0 tokens are counted at e-1
    When 1.2 s pass, and other entries report 2 calls with 700 tokens at e-1
    Then 2 calls with 700 tokens are counted at e-1

    Examples:
      | restart                        |
      | is listed                      |
      | loses its record and is listed |

  # Guards against room at a brittle endpoint that a changing record makes.
  Scenario: Work that others have counts on when a record loses its start
    When other entries report 9 calls with 50000 tokens at e-1
    And e-1 is listed as started at 0 s
    Then 9 calls with 50000 tokens are counted at e-1

  # Guards against reports of calls that ended with the former start.
  Scenario: This entry reports its calls at the present start only
    Given 3 calls run at e-1
    When e-1 is listed as started at 203 s
    Then this entry reports no calls at e-1
    When 1 calls run at e-1
    Then this entry reports 1 calls at e-1

  # Guards against calls that are counted once only, as a record lost its start meanwhile.
  Scenario: This entry reports its calls before and after a record lost its start
    Given 3 calls run at e-1
    When e-1 is listed as started at 0 s
    And 1 calls run at e-1
    Then this entry reports 4 calls at e-1

  # Guards against places that requests of the former start hold.
  Scenario Outline: Places of a brittle endpoint are free when it starts again
    Given e-1 says that it is brittle
    And 4 calls run at e-1
    When its calls end as <outcome>
    Then e-1 has no room
    When e-1 is listed as started at 203 s
    And e-1 says that it is brittle
    Then e-1 has room

    Examples:
      | outcome   |
      | undecided |
      | refused   |

  # Guards against places held by requests whose loss is noticed after the restart.
  Scenario: Requests that end with the former start hold no places at the later one
    Given e-1 says that it is brittle
    And 4 calls run at e-1
    When e-1 is listed as started at 203 s
    And e-1 says that it is brittle
    And its calls end as failed
    Then e-1 has room
