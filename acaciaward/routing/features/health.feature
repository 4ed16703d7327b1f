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
      | silent    | is paused     |

  Scenario Outline: An endpoint that refuses has been reached
    Given an endpoint that wasn't reached
    When a call there ends as <outcome>
    Then the endpoint <state>

    Examples:
      | outcome   | state            |
      | served    | counts as reached |
      | refused   | counts as reached |
      | undecided | counts as unreached |
      | silent    | counts as unreached |

  # Nine streams of an endpoint that stood still for 1.3 s paused it for 4 s, and others
  # were cheaper until it had served ten calls, of which it got none.
  Scenario: All calls that are left in one silence count once
    Given an endpoint with 9 calls that has sent nothing for 0.5 s
    When 9 of its calls are left as it is silent, one each 0.01 s
    Then it is paused for 0.3 s from the first of them on
    And it looks as good as one that never failed from then on

  # Guards against calls that are sent to an endpoint that stays silent.
  Scenario: An endpoint that stays silent gets single calls, less and less often
    Given an endpoint with 9 calls that has sent nothing for 0.5 s
    When 9 of its calls are left as it is silent, one each 0.01 s
    And it stays silent while 20 calls a second are sent for 20 s, to it or to another
    Then it got no two calls at once, and at most 8
    And the pauses between them grow to 4 s

  Scenario: An endpoint that sends something is used again at once
    Given an endpoint with 9 calls that has sent nothing for 0.5 s
    When 8 of its calls are left as it is silent, one each 0.01 s
    And the last of its calls gets data
    Then it looks as good as one that never failed
    And it counts as reached

  Scenario: An endpoint that answers its probe is used again
    Given an endpoint with 9 calls that has sent nothing for 0.5 s
    When 9 of its calls are left as it is silent, one each 0.01 s
    And it goes on while 20 calls a second are sent for 1 s, to it or to another
    Then it got 2 calls or more

  # Guards against an endpoint that fails calls and is used again for a byte.
  Scenario Outline: Data ends the pause of a silence only
    Given an endpoint with 1 calls that has sent nothing for 0.5 s
    When 2 calls there end as <outcome>
    And the last of its calls gets data
    Then it is still paused

    Examples:
      | outcome   |
      | failed    |
      | unreached |

  # Refusals take no time, so that they made a service look fast.
  Scenario: Only calls that were served tell how long a service takes
    Given an endpoint that was sent a call with 10 tokens to prefill
    When 2 s pass there, and the call ends as served
    And a call there ends as refused
    And a call there ends as undecided
    Then the service takes 2 s
