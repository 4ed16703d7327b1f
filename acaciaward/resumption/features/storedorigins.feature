Feature: The store keeps what outlives all entries of where streams began

  One entry, the recorder, writes a record of each version that may have begun streams,
  and while there are several, the streams of each.

  Scenario: The only version in the store began a stream that nobody remembers
    Given 9 entries with a store that lists version v1
    When stored stream "a" begins at entry 1, at v1
    And all entries start anew
    Then each entry finds v1 for "a" in the store

  Scenario: Of several versions, the store tells which began a stream
    Given 9 entries with a store that lists versions v1 and v2
    When stored stream "a" begins at entry 1, at v1
    And stored stream "b" begins at entry 2, at v2
    And 0.3 s pass by
    And all entries start anew
    Then each entry finds v1 for "a" in the store
    And each entry finds v2 for "b" in the store

  # A stream begins in the moment before the loss, so that it isn't in the store yet.
  Scenario: A stream that isn't in the store has no version if there are several
    Given 9 entries with a store that lists versions v1 and v2
    When stored stream "a" begins at entry 1, at v1
    And stored stream "b" begins at entry 2, at v2
    And stored stream "c" begins at entry 2, at v2
    And all entries start anew
    Then each entry finds nothing for "c" in the store

  Scenario: Streams from before a release are stored when it begins
    Given 9 entries with a store that lists version v1
    When stored stream "a" begins at entry 1, at v1
    And version v2 is listed, too
    And stored stream "b" begins at entry 2, at v2
    And 0.3 s pass by
    And all entries start anew
    Then each entry finds v1 for "a" in the store

  # The store named the new version a moment before it had the streams of the old one, so
  # that none of these went on if all entries were lost then.
  Scenario: Streams from before a release are stored before its version is
    Given 9 entries with a store that lists version v1
    When stored stream "a" begins at entry 1, at v1
    And version v2 is listed, too
    And stored stream "b" begins at entry 2, at v2
    And all entries start anew
    Then each entry finds v1 for "a" in the store

  Scenario: The same where the recorder is a new one
    Given 9 entries with a store that lists version v1
    When stored stream "a" begins at entry 1, at v1
    And the recorder ends and another one follows
    And stored stream "c" begins at entry 1, at v1
    And version v2 is listed, too
    And stored stream "b" begins at entry 3, at v2
    And all entries start anew
    Then each entry finds v1 for "c" in the store

  # The recorder forgot the second version for what it had read before, and stored no
  # stream that began later: 7 of 40 went on after the other entries had ended.
  Scenario: Streams are stored whatever the recorder reads while it records versions
    Given 9 entries with a store that lists version v1
    When stored stream "a" begins at entry 1, at v1
    And the recorder compares
    And the recorder ends and another one follows
    And version v2 is listed, too
    And the store takes 0.02 s for its next answer, and less for the others
    And stored streams "a" and "b" begin at once, at v1 and v2
    And stored stream "c" begins at entry 3, at v2
    And 0.3 s pass by
    And all entries start anew at once
    Then each entry finds v2 for "c" in the store

  Scenario: Streams are stored whatever the recorder reads while it compares
    Given 9 entries with a store that lists version v1
    When stored stream "a" begins at entry 1, at v1
    And the recorder compares
    And stored stream "b" begins at v2, not listed yet, while the recorder compares
    And stored stream "c" begins at entry 3, at v2
    And 0.3 s pass by
    And all entries start anew at once
    Then each entry finds v2 for "c" in the store

  # A recorder that had just been chosen took the streams that it knew for stored.
  Scenario: A new recorder that records a version stores the streams that it knows
    Given 9 entries with a store that lists versions v1 and v2
    When stored stream "a" begins at entry 1, at v1
    And stored stream "b" begins at entry 3, at v2
    And the recorder compares
    And stored stream "d" begins at another entry, at v2, and the recorder ends for it
    And version v3 is listed, too
    And stored stream "c" begins at entry 3, at v3
    And 0.3 s pass by
    And all entries start anew at once
    Then each entry finds v2 for "d" in the store

  # A stream ran on a version that the store didn't name, so the other one was guessed.
  Scenario: A stream begins only when the store names its version
    Given 9 entries with a store that lists versions v1 and v2
    When stored stream "b" begins at each entry, at v2
    Then the store named v2 before any of them began

  Scenario: Each version is written once, however many entries begin streams
    Given 9 entries with a store that lists versions v1 and v2
    When stored stream "a" begins at each entry, at v1
    And stored stream "b" begins at each entry, at v2
    Then the store has got 2 records of versions

  Scenario: A store that takes nothing doesn't hold up streams
    Given 9 entries with a store that lists version v1
    And the store is down
    When stored stream "a" begins at entry 1, at v1
    Then it was begun within 0.25 s
    When the store is back
    And the recorder compares
    And all entries start anew
    Then each entry finds v1 for "a" in the store

  Scenario: A recorder that doesn't answer is done without
    Given 9 entries with a store that lists version v1
    When the recorder ends
    And stored stream "a" begins at each other entry, at v1
    And 0.5 s pass by
    Then the store names v1

  # An older copy lacks the version that was added last.
  Scenario: A store that was restored from an older copy is trusted once it's compared
    Given 9 entries with a store that lists versions v1 and v2
    When stored stream "a" begins at entry 1, at v1
    And stored stream "b" begins at entry 2, at v2
    And the recorder compares
    And the store loses v2 and has a new era
    And all entries start anew at once
    Then each entry finds nothing for "b" in the store
    When the recorder compares
    Then the store names v1
    And the store names v2
    And each entry finds nothing for "b" in the store

  # The first record after a restore that had lost all looked like the only version.
  Scenario: The first record in a new era isn't the only version
    Given 9 entries with a store that lists versions v1 and v2
    When stored stream "a" begins at entry 1, at v1
    And stored stream "b" begins at entry 2, at v2
    And the recorder compares
    And the store loses all and has a new era
    And all entries start anew at once
    And stored stream "c" begins at entry 1, at v1
    Then each entry finds nothing for "b" in the store

  # Entries of an older build record nothing.
  Scenario: The first record in an empty store isn't the only version
    Given 9 entries with a store that lists versions v1 and v2
    When all entries start anew at once
    And stored stream "c" begins at entry 1, at v1
    Then each entry finds nothing for "b" in the store

  # All take-ups were refused for as long as streams run, as no version counted yet.
  Scenario: Streams are stored while the records aren't complete
    Given 9 entries with a store that lists version v1
    When all entries start anew at once
    And stored stream "a" begins at entry 1, at v1
    And 0.3 s pass by
    And all entries start anew at once
    Then each entry finds v1 for "a" in the store
    And each entry finds nothing for "b" in the store

  Scenario: Streams of a single version aren't stored once the records are complete
    Given 9 entries with a store that lists version v1
    When the recorder compares
    And stored stream "a" begins at entry 1, at v1
    And 0.3 s pass by
    Then the store has no stream

  Scenario: Records are complete once the endpoints have been known for long
    Given 9 entries with a store that lists version v1
    When all entries start anew at once
    And stored stream "a" begins at entry 1, at v1
    And the recorder compares
    Then each entry finds nothing for "b" in the store
    When the entries have known the endpoints for long
    And the recorder compares
    And all entries start anew at once
    Then each entry finds v1 for "a" in the store

  Scenario: An entry that outlives a restore makes the records complete again
    Given 9 entries with a store that lists version v1
    When stored stream "a" begins at entry 1, at v1
    And the recorder compares
    And the store loses all and has a new era
    And the recorder compares
    And all entries start anew at once
    Then each entry finds v1 for "a" in the store

  Scenario: A version without endpoints is removed when none of its streams runs
    Given 9 entries with a store that lists versions v1 and v2
    When stored stream "a" begins at entry 1, at v1
    And stored stream "b" begins at entry 2, at v2
    And version v2 is listed no more
    And the recorder compares
    And 59 s pass at the recorder
    And the recorder compares
    Then the store names v2
    When 2 s pass at the recorder
    And the recorder compares
    Then the store doesn't name v2

  # The recorder was paused, and went on with what it had read before.
  Scenario: A recorder that was paused removes no version that is back
    Given 9 entries with a store that lists versions v1 and v2
    When stored stream "a" begins at entry 1, at v1
    And stored stream "b" begins at entry 2, at v2
    And version v2 is listed no more
    And the recorder compares
    And 61 s pass at the recorder
    And v2 is written again while the recorder compares
    Then the store names v2

  Scenario: A version that comes back is recorded anew
    Given 9 entries with a store that lists versions v1 and v2
    When stored stream "a" begins at entry 1, at v1
    And stored stream "b" begins at entry 2, at v2
    And version v2 is listed no more
    And 0.3 s pass by
    And the recorder compares
    And 61 s pass at the recorder
    And the recorder compares
    Then the store doesn't name v2
    When version v2 is listed, too
    And 0.3 s pass by
    And stored stream "c" begins at entry 2, at v2
    Then the store names v2

  # An entry that has just read the records must not decide by them for a later stream.
  Scenario: A version that is recorded after a read counts for streams that begin then
    Given 9 entries with a store that lists version v1
    When stored stream "a" begins at entry 1, at v1
    And all entries start anew
    Then each entry finds v1 for "a" in the store
    When stored stream "b" begins at entry 2, at v2
    Then each entry finds nothing for "c" in the store

  Scenario: Streams that are taken up at once share a call
    Given 9 entries with a store that lists version v1
    When stored stream "a" begins at entry 1, at v1
    And all entries start anew
    And 100 streams are taken up at entry 1 at once
    Then the store has got 2 calls to list versions, or fewer

  # Each stream that was taken up waited for a call of its own, one after the other.
  Scenario: A store that doesn't answer holds up no stream for longer than one call
    Given 9 entries with a store that lists version v1
    When the store answers each call with an error after 0.3 s
    And 20 streams are looked for at entry 1, 0.01 s apart
    Then each was known not to be found within 0.8 s

  # One lost answer, and all streams that were taken up within 0.5 s were refused.
  Scenario Outline: A read that fails once refuses no stream
    Given 9 entries with a store that lists versions v1 and v2
    When stored stream "a" begins at entry 1, at v1
    And stored stream "b" begins at entry 2, at v2
    And 0.3 s pass by
    And all entries start anew
    And <answered> of its calls are answered, and the next fails after <pause> s
    And stream "b" is looked for 30 times at entry 1, 0.02 s apart
    Then v2 was found each time within 0.45 s

    Examples:
      | answered | pause |
      | 0        | 0     |
      | 0        | 0.6   |
      | 1        | 0     |
      | 1        | 0.6   |

  # The only version of the service to which the route leads now wasn't the stream's.
  Scenario: Streams of services that share a route are stored, and no version is the only one
    Given 9 entries with a store that lists version v1
    And the service shares a route with another
    When stored stream "a" begins at entry 1, at v1
    And 0.3 s pass by
    And all entries start anew
    Then each entry finds v1 for "a" in the store
    And each entry finds nothing for "b" in the store

  Scenario: A record that can't be read makes nothing certain
    Given 9 entries with a store that lists version v1
    When the recorder compares
    And stored stream "a" begins at entry 1, at v1
    Then the store has no stream
    When an invalid record is in the store
    And all entries start anew
    Then each entry finds nothing for "a" in the store

  Scenario: Expired records of streams are skipped
    Given 9 entries with a store that lists versions v1 and v2
    When stored stream "a" begins at entry 1, at v1
    And stored stream "b" begins at entry 2, at v2
    And 0.3 s pass by
    And the store drops the records of streams so far
    And stored stream "c" begins at entry 2, at v2
    And 0.3 s pass by
    And all entries start anew
    Then each entry finds v2 for "c" in the store
    And each entry finds nothing for "a" in the store
