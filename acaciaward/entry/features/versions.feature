Feature: Entries of two versions side by side

  Scenario: Every message with fields that this version doesn't know is read
    Then each kind of message decodes to what it was before the fields were added
    And a message of an unknown kind is refused without harm

  Scenario: Two entries of this version work with one of a newer version
    Given three entries, one of which adds fields, states and kinds to what it sends
    When records of unknown kinds and patches with unknown fields are appended
    And an operator patches through the newer entry and a caller calls through each
    Then all three know each other, have the same version and answered the calls
    And nothing was dropped from their messages except the peer in an unknown state
