Feature: Entries together know the requests that crash endpoints

  Scenario: Crashes that several entries saw add up
    Given 3 entries that know of no crash
    When request "a" crashes endpoint 1 at entry 1
    And request "a" crashes endpoint 2 at entry 2
    And the entries tell each other
    Then no entry suspects "a"
    When request "a" crashes endpoint 3 at entry 3
    And the entries tell each other
    Then every entry suspects "a"

  Scenario: One crash that several entries saw counts once
    Given 3 entries that know of no crash
    When request "a" crashes endpoint 1 at entry 1
    And request "a" crashes endpoint 1 at entry 2
    And request "a" crashes endpoint 1 at entry 3
    And the entries tell each other
    Then no entry suspects "a"

  Scenario: A request that one entry has served is cleared at all
    Given 3 entries that know of no crash
    When request "a" is served at entry 1
    And request "a" crashes endpoint 1 at entry 2
    And request "a" crashes endpoint 2 at entry 2
    And request "a" crashes endpoint 3 at entry 2
    And the entries tell each other
    And the entries tell each other
    Then no entry suspects "a"

  Scenario: Suspicion outlives the entries that saw the crashes
    Given 3 entries that know of no crash
    When request "a" crashes endpoint 1 at entry 1
    And request "a" crashes endpoint 2 at entry 1
    And request "a" crashes endpoint 3 at entry 1
    And the entries tell each other
    And entry 1 starts anew
    And the entries tell each other
    Then every entry suspects "a"

  Scenario: Suspicion ends
    Given 3 entries that know of no crash
    When request "a" crashes endpoint 1 at entry 1
    And request "a" crashes endpoint 2 at entry 1
    And request "a" crashes endpoint 3 at entry 1
    And 301 s pass
    Then no entry suspects "a"

  Scenario: Telling doesn't keep a suspicion alive
    Given 3 entries that know of no crash
    When request "a" crashes endpoint 1 at entry 1
    And request "a" crashes endpoint 2 at entry 1
    And request "a" crashes endpoint 3 at entry 1
    And 1 s passes and the entries tell each other, 302 times
    Then no entry suspects "a"

  Scenario: A flood of crashes neither grows what is known nor what is told
    Given 3 entries that know of no crash
    When 10000 requests crash an endpoint at entry 1
    Then entry 1 knows at most 1000 requests and tells at most 32
