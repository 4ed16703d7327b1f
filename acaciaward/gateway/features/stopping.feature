Feature: An entry that stops answers every request that it has read

  The stop takes 8 s at most. Endpoints take as long as a scenario says.

  # Calls on connections that a stream had kept were passed on late in a stop, and cut.
  Scenario: A call on a connection that a stream has kept is refused late in a stop
    Given an entry whose endpoints take 4.5 s for a stream and 4 s for a call
    When the entry stops 0.2 s after a stream has begun on each of 6 connections
    And each of them carries a call as its stream has ended, while another stream runs
    Then every call is refused with a time to retry, and no endpoint got it

  # Calls that had been read behind another one on the same connection were dropped.
  Scenario: Calls that were sent one behind another are all answered
    Given an entry whose endpoints take 0.2 s for a stream and 0.4 s for a call
    When the entry stops 0.1 s after 5 calls were sent on each of 4 connections
    Then every call is answered

  # Guards against streams that are cut sooner than the stop's limit asks for.
  Scenario: A stream that has begun goes on when calls without an answer are given up
    Given a call whose answer has begun, and one without an answer
    When the stop gives up
    Then only the call without an answer ends

  # Calls that may run once only were cut without an answer at the end of a stop.
  Scenario: A call that can't end in time is answered that it may have run
    Given an entry whose endpoints take 30 s for a stream and 30 s for a call
    When the entry stops 0.1 s after 1 calls were sent on each of 4 connections
    Then every call is answered with 504

  # Calls taken later than the close is due could still run at the end, and were cut.
  Scenario: A peer that has just gone doesn't delay the close
    Given an entry and a peer whose endpoints take 4 s for a stream and 0.1 s for a call
    When the entry stops under a stream just after its peer has gone
    Then a call that comes 2.9 s after is served, and one 3.1 s after reaches no endpoint

  # An entry that was held up as its signal came closed, and ended, that much later.
  Scenario: The time of a stop counts from its signal
    Given an entry whose endpoints take 4 s for a stream and 0.1 s for a call
    When the entry is held up for 0.5 s as it is told to stop under a stream
    Then a call that comes 2.9 s after is served, and one 3.1 s after reaches no endpoint
