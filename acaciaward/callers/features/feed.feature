Feature: Slow callers

  Scenario: A caller that reads nothing uses bounded memory and loses no event
    Given a stream of 400 events of 64 KiB behind a real server
    When its caller reads nothing until no more is read from the engine
    Then at most 16 MiB were read, while another caller got its complete stream
    And the caller that resumes reading gets every event once
