Feature: Callers of patient routes, with the entry's forwarding and endpoints on loopback

  Background:
    Given an entry with 4 endpoints whose service has an urgent and a patient route

  Scenario: A patient call waits for engines, and is answered once they have room
    When the engines have 100000 tokens each to read, for 0.4 s
    Then a patient call is answered with 200 after 0.35 to 0.9 s
    And its prompt counts in what this entry reports

  Scenario: Callers with room at the engines are answered at once
    When the engines have 0 tokens each to read, for 0 s
    Then a patient call is answered with 200 after 0 to 0.3 s

  Scenario: A call whose turn comes too late is refused at once
    When the engines have 900000 tokens each to read, for 0 s
    Then a patient call is answered with 503 after 0 to 0.3 s
    And no endpoint got it

  Scenario: A caller that leaves while its call waits frees the queue
    When the engines have 100000 tokens each to read, for 0 s
    Then a patient call whose caller leaves after 0.2 s is soon not counted as waiting
    And no endpoint got it
