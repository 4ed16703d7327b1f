Feature: Resume tokens

  Scenario: A token is accepted under the old key until that key is removed
    Given a token signed with the key "old"
    Then it is accepted with the keys "old, new"
    And it is refused with the keys "new"
    And the proof of its tokens is accepted with the keys "old, new"
    And the proof of its tokens is refused with the keys "new"

  Scenario: Expired, altered and other organisations' tokens get the same refusal
    Given a token signed with the key "old"
    Then it is refused with the same message if expired, altered or another organisation's

  Scenario: A proof is valid only for its own stream, count and text
    Given a token signed with the key "old"
    Then the proof of its tokens is refused for any other stream, count or text
