Feature: The usage of a window is never sent with two counts, whatever the store loses

  # Guards against a second report with other counts after the store has lost a decision.
  Scenario Outline: A window that was sent isn't sent with other counts after <what>
    Given entries one, two and three that report usage, one holds the lease
    When window 201 has been sent
    And <what>
    And another entry holds the lease
    And 9 s pass
    Then no window was sent with two counts

    Examples:
      | what                                                             |
      | the store comes back from a copy that lacks the decision         |
      | the store comes back from a copy that lacks counts and decision  |
      | the store comes back twice from copies that lack the decision    |
      | the store comes back and gives the decision's offset out again   |
      | the store comes back and all entries are restarted               |
      | the records of the topic expire                                  |
      | the records of the topic expire and all entries are restarted    |

  # Guards against a report by a holder that was suspended while the store was restored.
  Scenario: A holder that is suspended before its report while the store is restored
    Given entries one, two and three that report usage, one holds the lease
    When entry one is suspended as it sends window 201, and the store is restored
    And another entry holds the lease
    And 9 s pass
    And the report of entry one arrives
    Then no window was sent with two counts

  # Guards against a decision of before a restore that is appended after it.
  Scenario Outline: A decision that is appended late, <when>, doesn't count
    Given entries one, two and three that report usage, one holds the lease
    When window 201 has been sent
    And the answers to appends are lost from the end of window 202 on, <when>
    And another entry holds the lease
    And 9 s pass
    Then no window was sent with two counts

    Examples:
      | when                       |
      | and they are done at once  |
      | and they are done later    |
      | and done after a restore   |
      | and lost with the store    |

  # Guards against what an entry says of windows before its clock is corrected.
  Scenario Outline: An entry that starts <seconds> s <off> answers for no earlier window
    Given entries one, two and three that report usage, one holds the lease
    When window 201 has been sent
    And entry three is restarted with its clock <seconds> s <off>, corrected 1 s later
    And the store comes back from a copy that lacks counts and decision
    And entry three is restarted with its clock <seconds> s <off>, corrected 1 s later
    And entry <holder> holds the lease
    And 30 s pass
    Then no window was sent with two counts
    And windows 204 to 206 were reported in time

    Examples:
      | seconds | off    | holder |
      | 7       | behind | three  |
      | 7       | behind | two    |
      | 30      | ahead  | three  |
      | 30      | ahead  | two    |

  # Guards against a holder that stops reporting after the store was restored.
  Scenario Outline: Windows that end after a restore are reported in time, <how>
    Given entries one, two and three that report usage, one holds the lease
    When window 201 has been sent
    And the store comes back from a copy that lacks counts and decision
    And <how>
    And 30 s pass
    Then window 202 was reported in time
    And windows 203 to 205 were reported in time, with the right counts
    And no window was sent with two counts

    Examples:
      | how                            |
      | the same entry holds the lease |
      | another entry holds the lease  |
      | all entries are restarted      |

  # Guards against the record of a holder that was suspended before its append.
  Scenario Outline: A holder is suspended before its decision, another <does>
    Given entries one, two and three that report usage, one holds the lease
    When window 201 has been sent
    And entry one is suspended as it appends its decision on 202, another <does>
    And 9 s pass
    And entry one holds the lease
    And 9 s pass
    Then no window was sent with two counts

    Examples:
      | does                                                      |
      | decides and sends                                         |
      | decides, sends, and its decision is lost with the store's |

  # Guards against a decision of the era before that is appended where it expects to be.
  Scenario: A decision of before a restore is appended after it, at the offset it expects
    Given entries one, two and three that report usage, one holds the lease
    When window 201 has been sent
    And the decision of entry one on 202 isn't appended yet, two sends other counts
    And the store loses the decision of two, and appends that of one
    And all entries are restarted
    And 9 s pass
    Then no window was sent with two counts

  # Guards against any order of losses, late appends, deaths and new holders.
  Scenario: No schedule of restores, late appends, deaths and holders sends two counts
    Then for any of 300 schedules no window was sent with two counts
