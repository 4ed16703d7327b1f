Feature: Resume tokens

  Scenario: A token is read with the old key until that key is taken away
    Given a token signed with the key "old"
    Then it is read with the keys "old, new"
    And it is refused with the keys "new"
    And the proof of its tokens is read with the keys "old, new"
    And the proof of its tokens is refused with the keys "new"

  Scenario: Expired, altered and foreign tokens are refused alike
    Given a token signed with the key "old"
    Then it is refused in the same words when expired, altered or foreign

  Scenario: A proof fits only its own stream, count and text
    Given a token signed with the key "old"
    Then the proof of its tokens fits no other stream, count or text
