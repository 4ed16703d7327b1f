Feature: The end of a call says how healthy its endpoint is

  # A refusal, or a caller that left, ended an endpoint's pause as a success does.
  Scenario Outline: Only a call that was served ends the pause of an endpoint
    Given an endpoint that failed two calls in a row
    When a call there ends as <outcome>
    Then the endpoint <state>

    Examples:
      | outcome   | state         |
      | served    | is not paused |
      | failed    | is paused     |
      | unreached | is paused     |
      | refused   | is paused     |
      | undecided | is paused     |

  Scenario Outline: An endpoint that refuses has been reached
    Given an endpoint that wasn't reached
    When a call there ends as <outcome>
    Then the endpoint <state>

    Examples:
      | outcome   | state            |
      | served    | counts as reached |
      | refused   | counts as reached |
      | undecided | counts as unreached |

  # Refusals take no time, so that they made a service look fast.
  Scenario: Only calls that were served tell how long a service takes
    Given an endpoint that was sent a call with 10 tokens to prefill
    When 2 s pass there, and the call ends as served
    And a call there ends as refused
    And a call there ends as undecided
    Then the service takes 2 s
