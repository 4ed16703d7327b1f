Feature: What entries send their reader and it sends them fits their links

  # Readers with links of 5 Mbit/s were taken for suspect over and over, as relays filled
  # nearly all of it, and their entries refused calls far below the quotas.
  Scenario: With all that relays may hold, a reader fills less than half of a small link
    Given a data centre of 20 entries that know all crashes that a relay may hold
    And each entry has calls at 96 endpoints
    When nothing new happens for 40 relays
    Then its reader sent less than 2.5 Mbit/s
    And it received less than 2.5 Mbit/s

  Scenario: What crashed is relayed at once when it is new, and repeated within two seconds
    Given a data centre of 20 entries that know all crashes that a relay may hold
    When nothing new happens for 40 relays
    And an entry reports a new crash of a request and of a part of prompts
    Then every entry learns of both with the next relay
    And every entry hears of all crashes again within 8 relays

  Scenario: An entry that has just started hears of all crashes at once
    Given a data centre of 20 entries that know all crashes that a relay may hold
    When nothing new happens for 40 relays
    And an entry restarts with no knowledge of them
    Then its first relay tells all crashes

  # One failed probe anywhere made all entries of a data centre change their reader.
  Scenario: A suspect reader stays the reader of entries that its relays reach
    Given a data centre of 20 entries that know all crashes that a relay may hold
    When nothing new happens for 4 relays
    And all entries take their reader for suspect
    And nothing new happens for 4 relays
    Then each entry got 8 relays from the same reader

  Scenario: A suspect reader whose relays stop is replaced at once
    Given a data centre of 20 entries that know all crashes that a relay may hold
    When nothing new happens for 4 relays
    And their reader has sent nothing for 0.7 s and is suspect
    Then all other entries choose the same other reader

  Scenario: A suspect reader still gets the sums of other data centres
    Given 3 data centres of 4 entries each
    And each takes the readers of the others for suspect
    When nothing new happens for 4 relays
    Then each entry has got sums over 12 entries

  # Guards against knowledge of slow endpoints that stays in one data centre or is lost.
  Scenario: Readers sum what all entries know of the speed of endpoints, once a second
    Given 3 data centres of 4 entries each
    And each entry has calls at 8 endpoints
    When nothing new happens for 4 relays
    And nothing new happens for 12 relays
    Then each reader has summed the samples of all 11 other entries
    And each entry has heard 3 times how fast endpoints are
