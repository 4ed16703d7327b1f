Feature: Entries share which requests crash endpoints

  Scenario: Crashes that several entries saw add up
    Given 3 entries that know of no crash
    When request "a" crashes endpoint 1 at entry 1
    And request "a" crashes endpoint 2 at entry 2
    And the entries exchange reports
    Then no entry suspects "a"
    When request "a" crashes endpoint 3 at entry 3
    And the entries exchange reports
    Then every entry suspects "a"

  Scenario: One crash that several entries saw counts once
    Given 3 entries that know of no crash
    When request "a" crashes endpoint 1 at entry 1
    And request "a" crashes endpoint 1 at entry 2
    And request "a" crashes endpoint 1 at entry 3
    And the entries exchange reports
    Then no entry suspects "a"

  Scenario: A request that one entry has served is cleared at all entries
    Given 3 entries that know of no crash
    When request "a" is served at entry 1
    And request "a" crashes endpoint 1 at entry 2
    And request "a" crashes endpoint 2 at entry 2
    And request "a" crashes endpoint 3 at entry 2
    And the entries exchange reports
    And the entries exchange reports
    Then no entry suspects "a"

  Scenario: Suspicion outlives the entries that saw the crashes
    Given 3 entries that know of no crash
    When request "a" crashes endpoint 1 at entry 1
    And request "a" crashes endpoint 2 at entry 1
    And request "a" crashes endpoint 3 at entry 1
    And the entries exchange reports
    And entry 1 restarts
    And the entries exchange reports
    Then every entry suspects "a"

  Scenario: Suspicion ends
    Given 3 entries that know of no crash
    When request "a" crashes endpoint 1 at entry 1
    And request "a" crashes endpoint 2 at entry 1
    And request "a" crashes endpoint 3 at entry 1
    And 301 s pass
    Then no entry suspects "a"

  Scenario: Repeated reports don't extend a suspicion
    Given 3 entries that know of no crash
    When request "a" crashes endpoint 1 at entry 1
    And request "a" crashes endpoint 2 at entry 1
    And request "a" crashes endpoint 3 at entry 1
    And 1 s passes and the entries exchange reports, 302 times
    Then no entry suspects "a"

  Scenario: A flood of crashes grows neither what is remembered nor what is reported
    Given 3 entries that know of no crash
    When 10000 requests crash an endpoint at entry 1
    Then entry 1 knows at most 1000 requests and reports at most 32
