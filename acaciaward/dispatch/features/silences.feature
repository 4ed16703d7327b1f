Feature: A stream isn't given up because its engine is silent for a moment

  A sound engine may send nothing for a while, as a process that is stopped and goes on.
  Another engine may be asked meanwhile, but a refusal must not cost the caller the stream
  that the first one still works on.

  Silence is what lasts longer than `dispatch.token_timeout_s`, here 0.5 s.

  # The stream ended with "4 attempts failed, the last one: endpoint answered 503" (LOST).
  Scenario: A stream goes on after a silence though the other engine refuses it
    Given an entry and 2 engines
    When a stream's engine stands still for 1.2 s, and the others refuse
    Then the stream is complete, each token once
    And 1 streams were started

  # A second stream was started at the engine, which computed the answer once more.
  Scenario: A stream goes on after a silence though there is no other engine
    Given an entry and 1 engines
    When a stream's engine stands still for 1.2 s, and the others take streams
    Then the stream is complete, each token once
    And 1 streams were started

  # Guards against streams that are cancelled at both.
  Scenario: A stream goes on after a silence though all engines are silent
    Given an entry and 2 engines
    When a stream's engine stands still for 1.2 s, and the others do, too
    Then the stream is complete, each token once

  # Guards against an attempt that is left running at the engine that wasn't needed.
  Scenario: A stream goes on after a silence though the other engine makes no progress
    Given an entry and 2 engines
    When a stream's engine stands still for 1.2 s, and the others stall
    Then the stream is complete, each token once
    And 2 streams were started
    And no engine works on it any more

  # Guards against more attempts than are allowed.
  Scenario: A silent stream is sent to no more engines than the settings allow
    Given an entry and 2 engines, and 1 attempt at each request
    When a stream's engine stands still for 1.2 s, and the others take streams
    Then the stream is complete, each token once
    And 1 streams were started

  # Guards against callers that are held by an engine that is silent for good.
  Scenario: A stream goes on elsewhere if its engine stays silent
    Given an entry and 2 engines
    When a stream's engine stands still for 6 s, and the others take streams
    Then the stream is complete, each token once
    And it was complete before the silence ended
    And no engine works on it any more

  # The caller got nothing more by its deadline: two engines were asked, and no third.
  Scenario: A third engine is asked if two stay silent
    Given an entry and 3 engines
    When a stream's engine stands still for 6 s, and the first of the others stalls
    Then the stream is complete, each token once
    And it was complete before the silence ended

  # The caller was held up to its deadline, though another engine was ready to go on.
  Scenario: A stream that is moved goes on though its engine falls silent
    Given a stream whose engine leaves, and is silent from its fifth token on
    When the move is settled without its engine
    Then the stream is complete at the other engine within 2 s

  Scenario Outline: Another engine is asked beside a silent one only if that is allowed
    Given a request that <state>
    When its engine is silent
    Then <asked> other engine is asked, and <spent> of its organisation's repeats is spent

    Examples:
      | state                         | asked | spent |
      | may run twice                 | 1     | 1     |
      | may run only once             | 0     | 0     |
      | is a suspect                  | 0     | 0     |
      | has no attempt left           | 0     | 0     |
      | no other engine can take      | 0     | 0     |
      | its organisation can't repeat | 0     | 0     |
