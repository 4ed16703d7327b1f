Feature: What entries counted reaches the reports when entries end, start and move

  Entries one, two and three are of one data centre, four and five of another one; one
  and four read the store for the others.

  # A reader that began to store after a restart left out what its entries had counted in
  # the window before: a third of the requests, or all of them.
  Scenario: All entries start in a window, and their clocks are confirmed in the next one
    Given five entries of two data centres that report usage, one holds the lease
    When all entries start 2 s before the end of window 202, unconfirmed
    And their clocks are confirmed 1 s after its end, and four holds the lease
    And 20 s pass
    Then the report of window 202 lacks at most 1.5 s of what was counted before
    And the report of window 203 lacks nothing

  # Counts that reached a reader after it had stored the window weren't stored any more.
  Scenario: An entry that no reader has heard moves to another reader
    Given five entries of two data centres that report usage, one holds the lease
    When entry three ends, and starts 2 s before the end of window 202, unheard
    And it reports to another reader 1 s after its end
    And 20 s pass
    Then the report of window 202 lacks nothing
    And no window was sent with two counts

  # The counts of a run that ended were replaced by those of its next run.
  Scenario: An entry ends and starts again within a window
    Given five entries of two data centres that report usage, one holds the lease
    When entry three ends 1.5 s before the end of window 202, and starts again
    And 20 s pass
    Then the report of window 202 lacks nothing
    And the report of window 203 lacks nothing

  # Guards against a window that seems complete to an entry that knows few others yet.
  Scenario: The holder has just started and knows only its own data centre
    Given five entries of two data centres that report usage, one holds the lease
    When all entries start 1 s before the end of window 202, and one knows one to three
    And four's clock is confirmed 1.4 s after its end, and all are known 1.5 s after it
    And 20 s pass
    Then the report of window 202 lacks at most 1.5 s of what was counted before
    And the report of window 203 lacks nothing

  # Guards against counts of a wrong clock that are stored when their window comes.
  Scenario: An entry counted 50 requests by a clock that is 20 s ahead
    Given five entries of two data centres that report usage, one holds the lease
    When entry three starts 2 s before the end of window 202, its clock 20 s ahead for 1 s
    And 40 s pass
    Then the report of window 206 lacks nothing

  # What entries had counted since the last window ended was lost with them.
  Scenario Outline: All entries are lost <seconds> s before the end of a window
    Given five entries of two data centres that report usage, one holds the lease
    When all entries start <seconds> s before the end of window 202, unconfirmed
    And their clocks are confirmed <later> s after its end, and <holder> holds the lease
    And 20 s pass
    Then the report of window 202 lacks at most 1.5 s of what was counted before
    And the report of window 201 lacks nothing
    And no window was sent with two counts

    Examples:
      | seconds | later | holder |
      | 3       | -2    | one    |
      | 1       | 0.5   | two    |
      | 0.25    | 4     | five   |

  # The last window before a loss of all was reported as empty.
  Scenario: All entries are lost just after the end of a window
    Given five entries of two data centres that report usage, one holds the lease
    When all entries start 4.75 s before the end of window 203, unconfirmed
    And their clocks are confirmed -3 s after its end, and two holds the lease
    And 20 s pass
    Then the report of window 202 lacks at most 1.5 s of requests

  # Guards against windows that aren't reported as a topic can't be read.
  Scenario: The running counts can't be read
    Given five entries of two data centres that report usage, one holds the lease
    When the topic of running counts is away
    And 30 s pass
    Then windows 201 to 203 were reported in time, with the right counts

  # Guards against appends without requests, by other entries, and of outdated records.
  Scenario: Only readers store running counts, once a second while requests run
    Given five entries of two data centres that report usage, one holds the lease
    When 30 s pass
    Then running counts were stored by one and four only, at most 62 times
    When no requests come in for 90 s
    Then running counts were stored at most 10 times more
    And all records of running counts but one are removed once they are outdated

  # Guards against appends by every entry when a reader is lost.
  Scenario: Entries whose reader is lost don't store what it has stored
    Given five entries of two data centres that report usage, one holds the lease
    When window 202 ended 2 s ago, and each entry becomes its own reader
    And 2 s pass
    Then the entries have stored counts at most 1 time since

  # Guards against calls that a calm day doesn't need.
  Scenario: Readers store each window once while nothing happens
    Given five entries of two data centres that report usage, one holds the lease
    When 50 s pass
    Then each reader has stored counts of finished windows at most 10 times
