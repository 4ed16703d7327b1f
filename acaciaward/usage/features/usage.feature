Feature: Each window is reported once, and right

  Scenario: A step of the machine's clock doesn't move the windows
    Given a true clock that began at 1000
    When the clock of the day jumps by 2400 s
    Then the true time is still right

  Scenario: A start inside a step is corrected by the others
    Given a true clock that began 30 s ahead of two peers
    Then the true time is that of the peers

  Scenario: Counts of an entry that died are known from its last report
    Given entries that told 10 and 20 before the second died
    Then the window's total is 30

  Scenario: Two holders report the same counts
    Given two reporters on one topic
    When the first decides and dies before it sends
    And the second takes over with other counts
    Then what the second sends is what the first decided

  Scenario: A window without an entry's last word waits, but not for ever
    Given two reporters on one topic
    When one of them has not stored its counts
    Then nothing is reported for 5 s, and then what is known
