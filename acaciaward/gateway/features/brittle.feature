Feature: Endpoints that fall over when they turn much away don't

  Six entries of two data centres send to four endpoints, which let no request wait from
  the contact time on after they said that they are brittle. Then an entry is cut off from
  the others, one is restarted, and callers send twice as much for a second.

  # Entries sent what they liked, and endpoints fell over again and again.
  Scenario Outline: Endpoints that are brittle stay up while much goes wrong
    Given brittle endpoints, and callers that ask for <load> of what they can do
    When an entry is cut off from its peers, one is restarted, and a burst comes
    Then the endpoints fell over 2 times and a tenth of their number at most
    And no refusal was held for longer than 0.5 s, and each had a time to retry

    Examples:
      | load |
      | 1.0  |
      | 1.5  |

  Scenario: Endpoints that are brittle serve nearly as much as others
    Given endpoints that aren't brittle, and callers that ask for 0.7 of what they can do
    When an entry is cut off from its peers, one is restarted, and a burst comes
    And the same is played with brittle endpoints
    Then the endpoints fell over 2 times and a tenth of their number at most
    And no refusal was held for longer than 0.5 s, and each had a time to retry
    And 0.9 times the share of before was served or more

  # Places can't be divided among more entries than there are; the others ask peers.
  Scenario: Entries without a place of their own serve their callers, too
    Given brittle endpoints with 1 place each, and callers that ask for 0.5 of what they can do
    When they are brittle for 12 s from the contact time on
    Then the endpoints fell over 2 times and a tenth of their number at most
    And no refusal was held for longer than 0.5 s, and each had a time to retry
    And callers of each entry were served half as often as the mean or more
