Feature: A call goes where its first byte comes soonest

  Scenario: Calls that share a part go to the endpoint that has cached it
    Given 6 idle endpoints
    When 300 prompts with 20 shared parts are placed
    Then each part is mostly at one endpoint

  Scenario: A hot part spills over when its endpoint has a backlog
    Given 6 idle endpoints
    When 100 prompts with one shared part are placed and keep running
    Then at least 4 endpoints have work and none has more than twice the mean

  Scenario Outline: A prompt is prefilled again elsewhere only if that costs less overall
    Given 6 idle endpoints
    When the endpoint that has cached 5000 tokens of a prompt has <backlog> others to prefill
    Then the prompt <goes>

    Examples:
      | backlog | goes           |
      | 0       | stays          |
      | 8000    | stays          |
      | 12000   | goes elsewhere |

  Scenario: Calls that share a small part are spread before loads are known
    Given 40 idle endpoints
    When 200 prompts share a part of 300 tokens while no load is reported
    Then no endpoint gets more than 20 of them

  Scenario: A partially failed endpoint gets few calls
    Given 6 idle endpoints of which e-1 fails 0.4 of its calls
    When 300 plain calls are placed
    Then e-1 gets less than 10 of them

  Scenario: An endpoint that can't be reached is paused, then tried again
    Then pauses double from 0.3 s to 4 s and end with a success

  Scenario: A burst beyond the capacity is refused at once, not queued until it is late
    Given 2 idle endpoints
    When 400 prompts arrive at once with a timeout of 3 s
    Then some are refused and none that is placed is expected to wait over 1.5 s

  Scenario: An entry without measurements refuses no plain call at a usual load
    Given 3 idle endpoints
    When 30 plain calls with a timeout of 1 s come to an entry that has just started
    Then none is refused

  Scenario Outline: How long an endpoint may send no data depends on its prefill backlog
    Given an endpoint that was sent a call with <tokens> tokens to prefill
    Then it is considered failed after <most> s, but not after <least> s

    Examples:
      | tokens | least | most |
      | 0      | 0.35  | 0.45 |
      | 6000   | 0.45  | 0.65 |
      | 54000  | 1.2   | 2.0  |

  Scenario: Data that an endpoint sends for any call shows that it is alive
    Given an endpoint that was sent a call with 6000 tokens to prefill
    When it sends something every 0.3 s for 3 s
    Then it was never considered failed

  Scenario: The backlog that other entries report at an endpoint counts, too
    Given an endpoint that was sent a call with 1000 tokens to prefill
    When other entries report 54000 tokens to prefill there
    Then it is considered failed after 2.0 s, but not after 1.2 s
