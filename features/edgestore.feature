Feature: The stand-in of the platform's store fails as the platform's store may

  Scenario: An append that got no answer is carried out later if its condition holds
    Given a stand-in of the store that executes unanswered appends later
    When 20 appends are sent, each to a topic of its own
    Then only some get an answer, and the others are carried out within 6 s

  Scenario: A late append isn't carried out once the topic has grown
    Given a stand-in of the store that executes unanswered appends later
    When 20 appends are sent, each to a topic of its own
    And every topic gets another record meanwhile
    Then after 6 s each topic holds the answered appends and the other record alone

  Scenario: A late append is carried out after a restore whose copy ends where it expected
    Given a stand-in of the store that executes unanswered appends later
    When 20 appends are sent, each to a topic of its own
    And the store comes back from a copy older than all appends
    Then within 6 s exactly the unanswered appends are in their topics

  Scenario: Records older than a topic keeps are refused with the first offset kept
    Given a stand-in of the store
    When a topic without keys and a keyed topic get 2 records, and 0.3 s later 1 more
    And records older than 0.2 s expire
    Then a read of the topic without keys from offset 0 is refused with first offset 2
    And a read of it from offset 2 returns 1 record and the first offset 2
    And a read of the keyed topic from offset 0 returns 3 records

  Scenario: An expired topic that is restored gives its lost offsets out again
    Given a stand-in of the store
    When a topic without keys and a keyed topic get 2 records, and 0.3 s later 1 more
    And records older than 0.2 s expire
    And the store comes back from a copy 0.1 s old
    Then the next append to the topic without keys gets offset 2
