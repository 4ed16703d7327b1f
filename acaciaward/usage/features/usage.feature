Feature: Each window is reported once, with the right counts

  Scenario: A step of the machine's clock doesn't shift the windows
    Given a corrected clock that began at 1000
    When the wall clock jumps by 2400 s
    Then the true time is still right

  Scenario: A clock that started during a step is corrected by its peers
    Given a corrected clock that began 30 s ahead of two peers
    Then the true time is that of the peers

  Scenario: A clock that is behind is corrected by the first message
    Given a corrected clock that began 7 s behind two peers
    When the time of the peers arrives once
    Then the true time is that of the peers

  # Guards against a clock that late messages set back, and windows counted by it.
  Scenario: Messages that were held up don't set a clock back
    Given a corrected clock that has the time of two peers
    When 8 messages with the time arrive at once, the first 2 s late
    Then the true time is that of the peers

  Scenario: The counts of a dead entry are those of its last report
    Given entries that reported 10 and 20 before the second died
    Then the window's total is 30

  Scenario: Two holders report the same counts
    Given two reporters on one topic
    When the first decides and dies before it sends
    And the second takes over with other counts
    Then what the second sends is what the first decided

  Scenario: A window that lacks an entry's counts is reported after a bounded wait
    Given two reporters on one topic
    When one of them has not stored its counts
    Then the window isn't reported for 5 s, and then with the counts that are known
