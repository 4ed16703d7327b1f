Feature: Claims are decided by the order of the log

  Scenario: The replay agrees with a naive model over any log
    Then the replay finds the same owners as the naive model, over 400 logs

  Scenario: At most one nonce of a key is ever dispatched
    Then no schedule of 3000 with freezes, late records and expiry runs a key twice

  Scenario: Some schedule runs a key twice when a rule is switched off
    Then some schedule runs a key twice without the rule "coverage"
    And some schedule runs a key twice without the rule "order"

  Scenario: Memory is bounded, and a key evicted early is refused
    Given a replay that may remember 1000 keys
    When 5000 keys are claimed
    Then it remembers at most 1000 keys
    And each evicted key is uncovered, and a new key is not

  Scenario: A remembered claim takes little memory
    When 20000 keys are claimed in a fresh replay
    Then each takes less than 1500 bytes
