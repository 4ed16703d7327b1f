Feature: A call goes where its first byte comes soonest

  Scenario: A shared part draws calls to the endpoint that holds it
    Given 6 idle endpoints
    When 300 prompts with 20 shared parts are placed
    Then each part is mostly at one endpoint

  Scenario: A hot part spills over when its endpoint has a backlog
    Given 6 idle endpoints
    When 100 prompts with one shared part are placed and stay
    Then at least 4 endpoints have work and none has more than twice the mean

  Scenario: A small part that many share draws no crowd before loads are known
    Given 40 idle endpoints
    When 200 prompts share a part of 300 tokens while no load is told
    Then no endpoint gets more than 20 of them

  Scenario: A grey endpoint gets little
    Given 6 idle endpoints of which e-1 fails 0.4 of its calls
    When 300 plain calls are placed
    Then e-1 gets less than 10 of them

  Scenario: An endpoint that can't be reached is left alone, then tried again
    Then pauses double from 0.3 s to 4 s and end with a success

  Scenario: A burst beyond all room is refused at once, not queued until it is late
    Given 2 idle endpoints
    When 400 prompts arrive at once with a patience of 3 s
    Then some are refused and none that is placed is expected to wait over 1.5 s

  Scenario: An entry without experience refuses no plain call at a usual load
    Given 3 idle endpoints
    When 30 plain calls with a patience of 1 s come to an entry that has just started
    Then none is refused
