Feature: Odd records beside those of endpoints stop no entry

  Other writers may put anything into the topic in which endpoints register.

  # One record with a number too large stopped all six entries from following the list.
  Scenario Outline: Entries follow the list whatever else is written there
    Given 2 data centres of 2 entries that follow the store
    When another writer adds <records>
    And an endpoint registers
    Then every entry lists that endpoint within the contact time, and none of the odd ones
    And an entry that starts anew is ready within the contact time
    And no task of an entry has ended

    Examples:
      | records                                     |
      | numbers that are too large                  |
      | addresses that can't be used                |
      | records that are too large or nested        |
      | names that can't be sent                    |

  # Guards against endpoints that are left out for the spelling of their data centre.
  Scenario: An endpoint whose data centre has a name with other than ASCII letters is listed
    Given 2 data centres of 2 entries that follow the store
    When an endpoint registers in a data centre named "sala-brașov"
    Then every entry lists that endpoint within the contact time, and none of the odd ones

  # A record that one entry had read ended the task of another that relays records.
  Scenario: A peer of an older build passes on an odd record
    Given 2 data centres of 2 entries that follow the store
    When every entry's peers pass on an endpoint whose start is out of range
    And an endpoint registers
    Then every entry lists that endpoint within the contact time, and none of the odd ones
    And no task of an entry has ended

  # A task that failed once was not run again, while the entry went on without it.
  Scenario: A task of an entry that fails is run again
    Given 2 data centres of 2 entries that follow the store
    When the task that relays fails once at every entry
    And an endpoint registers
    Then every entry lists that endpoint within the contact time, and none of the odd ones
    And no task of an entry has ended
