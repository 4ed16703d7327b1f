Feature: A non-idempotent request runs at most once, and "not_run" is never wrong

  Scenario: A key runs once through many entries, lost answers and a killed entry
    Given 3 entries and 2 services
    When 9 callers send the same key through all entries at once
    Then each gets the answer of the one run
    When the answer of the service is lost and another key is sent elsewhere
    Then the caller gets "may_have_run" and the key ran once
    When the entry that owns another key is killed before the answer
    And the caller sends the key through another entry
    Then the caller gets "may_have_run" and the key ran once

  Scenario: A frozen entry thaws after its caller has switched to another entry
    Given 3 entries and 2 services
    When an entry is frozen between the claim and the first byte
    And the caller sends the key through another entry
    Then the caller gets "may_have_run" and the thawed entry never runs the key

  Scenario: The log is down before, during and after a request
    Given 3 entries and 2 services
    When the log goes down before a request
    Then it is refused at once as "not_run" and the key didn't run
    When the log loses the answers to its next appends
    Then a request runs once and is answered
    When appends take effect late, after their answer was lost
    Then a request is refused as "not_run" and runs once when sent again later
    When the log goes down after a request has run
    Then another entry that is asked for its outcome doesn't say "not_run"
    Given the log is up again
    Then each invalid key is refused as "not_run" and reaches no service

  Scenario: A poison request kills only two engines, also when entries are replaced
    Given 3 entries and 4 engines that crash on "cursed"
    When a poison request kills one engine and its entry is killed too
    And every entry is replaced
    And the poison request is sent through each entry
    Then two engines are dead and the answers name the quarantine and its end
    When an operator lifts the quarantine
    Then the history names who lifted it and the request is served

  # Requests are quarantined by their whole content, so none of these counts for another.
  Scenario: Different prompts that share a text which crashes engines crash few of them
    Given 3 entries and 12 engines that crash on "cursed"
    When 8 prompts with that text and another end each are sent through the entries
    Then at most 8 engines are dead
