Feature: Slow callers

  Scenario: A caller that reads nothing holds bounded memory and loses nothing
    Given a stream of 400 events of 64 KiB behind a real server
    When its caller reads nothing until no more is taken from the engine
    Then at most 16 MiB were taken, while another caller got its whole stream
    And the caller that reads on gets every event once
