Feature: A stream goes on only at the software version that began it

  Endpoints of two versions serve side by side; what they write doesn't fit together. Six
  entries of two data centres get streams, and callers take a stream up that broke off.

  # Streams went on at another version than the one that began them, within a try (ORDER).
  Scenario: Streams whose endpoint crashes go on at its version
    Given 2 data centres of 3 entries, 4 endpoints of each of two versions, and streams
    When an endpoint crashes 12 times, 0.5 s apart
    Then no more than 2 streams hold events of two versions
    And of the streams that were taken up half as many go on as new ones begin, or more

  # The same where the caller takes the stream up at an entry that never saw it (ORDER).
  Scenario: Streams that callers take up at another entry go on at their version
    Given 2 data centres of 3 entries, 4 endpoints of each of two versions, and streams
    When the callers of an entry lose their connections 12 times, 0.3 s apart
    Then no more than 2 streams hold events of two versions
    And of the streams that were taken up half as many go on as new ones begin, or more

  # The same where the entry that began the stream has ended, and with it what it knew.
  Scenario: Streams go on at their version when entries start anew
    Given 2 data centres of 3 entries, 4 endpoints of each of two versions, and streams
    When an entry ends and starts anew, 12 times
    Then no more than 2 streams hold events of two versions
    And of the streams that were taken up half as many go on as new ones begin, or more

  # A stream that can't go on must not wait for its deadline, nor go on elsewhere.
  Scenario: Streams of a version that has no endpoint left are refused at once
    Given 2 data centres of 3 entries, 4 endpoints of each of two versions, and streams
    When all endpoints of the second version end
    Then no more than 2 streams hold events of two versions
    And streams of that version that are taken up later are refused within 0.5 s
