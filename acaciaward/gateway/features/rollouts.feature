Feature: Entries move a service to another version as the operator orders

  Four entries of two data centres get streams. The operator starts endpoints of a second
  version beside the old ones and orders a roll-out of 12 s.

  # An order that never ends, or old endpoints that stop while streams run there.
  Scenario: A good version is completed
    Given 2 data centres of 2 entries that follow orders, and streams
    When the operator orders a good version
    Then the order is completed within 30 s
    And the operator has read the states "in_progress, completed"
    And no stream ran at an old endpoint then, and none is sent there later
    And each stream holds events of one version

  # A bad version that gets more requests than the operator allows.
  Scenario: A version that fails is rolled back
    Given 2 data centres of 2 entries that follow orders, and streams
    When the operator orders a version of which 0.5 of the answers fail
    Then the order is rolled_back within 30 s
    And the operator has read the states "in_progress, rolled_back"
    And the bad version got no more than its exposure
    And nothing is sent to the new endpoints 1 s later

  # A plan that is forgotten with its holder.
  Scenario: The next holder continues when the holder ends
    Given 2 data centres of 2 entries that follow orders, and streams
    When the operator orders a good version, and the holder ends 4 s later
    Then the order is completed within 40 s
    And no stream ran at an old endpoint then, and none is sent there later

  # Old endpoints that stop while entries send there that a holder doesn't hear.
  Scenario: A holder that is cut off from all others completes nothing
    Given 2 data centres of 2 entries that follow orders, and streams
    When the operator orders a good version, and the holder is cut off from 6 to 18 s
    Then the order has not ended by then
    And the order is completed within 50 s
    And no stream ran at an old endpoint then, and none is sent there later

  # Without the store there is no holder; the bad version must get nothing meanwhile.
  Scenario: A version that fails is rolled back when the store was away
    Given 2 data centres of 2 entries that follow orders, and streams
    When the operator orders a version of which 0.3 of the answers fail
    And the store refuses all calls from 2 s to 9 s later
    Then the order is rolled_back within 40 s
    And the bad version got no more than its exposure
    And nothing is sent to the new endpoints 1 s later

  # Another order must not let the target of the first one get requests.
  Scenario: A second order replaces the first
    Given 2 data centres of 2 entries that follow orders, and streams
    When the operator orders a good version, and the old one again 4 s later
    Then the order is completed within 16 s
    And nothing is sent to the new endpoints 1 s later

  # A version whose endpoints never come holds the operator's release up for good.
  Scenario: A version that never comes is rolled back at the deadline
    Given 2 data centres of 2 entries that follow orders, and streams
    When the operator orders a version that never comes
    Then the order is rolled_back within 16 s

  # Reads, writes and messages that cost where there is no roll-out.
  Scenario: Without an order nothing is read, written or sent
    Given 2 data centres of 2 entries that follow orders, and streams
    When endpoints of a second version join without an order
    Then both versions get requests
    And no entry has read or written a topic of roll-outs
    And no report holds anything of roll-outs

  # A record that nobody can follow must not end what follows the others.
  Scenario: Orders that can't be read are skipped
    Given 2 data centres of 2 entries that follow orders, and streams
    When the operator writes orders that can't be read
    And the operator writes the next configuration
    Then every entry has it in force within 3 s
    And no entry has read or written a topic of roll-outs
