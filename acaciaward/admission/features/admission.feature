Feature: Admission by limits, shares and deadlines

  Scenario: An entry always keeps its part of a limit, and all parts stay within it
    Then for any use of the peers the allowed part is an equal part or what peers leave

  Scenario: Entries without hints from their peers stay within the limit together
    Then entries without hints never exceed a limit together

  Scenario: Shares converge to the weights under any overload
    Then the least served organisation is next until shares match the weights

  Scenario: Work that can't meet its deadline is refused at once
    Given admission for 1 slots with steps of 0.1 s
    When a request of 10 tokens with a deadline of 30.0 s runs
    Then a request of 10 tokens with a deadline of 1.5 s is refused at once
    And it would be admitted after the stated retry delay

  Scenario: A request that can't finish in time is refused on an idle system
    Given admission for 4 slots with steps of 0.1 s
    Then a request of 100 tokens with a deadline of 2.0 s is refused at once

  Scenario: Urgent requests beyond the allowance lose their priority
    Given admission for 4 slots with steps of 0.1 s
    When "flooder" sends 100 urgent requests of 20 tokens
    Then an urgent request of "other" starts at once with priority 0
    And "flooder" has at most 4 requests with priority 0

  Scenario: A cancelled wait leaves nothing behind
    Given admission for 1 slots with steps of 0.1 s
    When a request of 10 tokens with a deadline of 30.0 s runs
    And 20 waiting requests are cancelled
    Then the next request starts when the first has ended

  Scenario: A retry budget is finite and belongs to one organisation
    Then an organisation can't spend more retries than it earned

  Scenario: A service that was slow for a while is not refused for good
    Given admission for 4 slots with steps of 0.01 s
    When 40 calls of a service take 2 times their deadline of 0.2 s each
    Then a call is admitted again within 5 s
