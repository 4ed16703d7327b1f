Feature: Verdicts say what is proved

  Scenario: Only the verdict in the endpoint's own answer proves a refusal
    Then only the top-level verdict of a refusal counts, whatever else its body contains

  Scenario Outline: A service's behaviour and the verdict of the attempt
    Given a service that <behaviour>
    When it is called with 0.3 s to the deadline
    Then the attempt ends in "<verdict>" within 1 s

    Examples:
      | behaviour                              | verdict      |
      | isn't there                            | not_run      |
      | closes after it has read the request   | may_have_run |
      | says nothing                           | may_have_run |
      | trickles its answer past the deadline  | may_have_run |
      | cuts its answer short                  | may_have_run |
      | answers another attempt                | may_have_run |
      | refuses in its own words               | not_run      |
      | is overloaded without a word on it     | may_have_run |
      | answers                                | ran          |

  Scenario: A call whose claim isn't confirmed writes no byte
    Given a service that answers
    When it is called with a claim that is no longer certain
    Then the call ends as "not_run" and the service saw no byte

  Scenario: A quarantine after an attempt doesn't hide that the attempt may have run
    When an attempt that may have run is followed by a quarantine
    Then the final error says "may_have_run"

  Scenario: The client library returns the worst verdict of its attempts
    When a first entry drops the request and a second says "not_run"
    Then the caller receives "may_have_run"
    And the request to the second entry is marked as sent again
