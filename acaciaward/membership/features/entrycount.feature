Feature: Entries divide quotas and retry budgets among all that may serve callers

  # A newcomer that reached no seed spent whole quotas and the whole retry budget.
  Scenario: An entry that knows nobody counts others until the store shows none
    Given an entry that knows nobody
    Then it counts 10 entries
    When 60 s pass
    Then it counts 10 entries
    When the store shows no others
    Then it counts 1 entry

  Scenario: What the store showed before others could have written doesn't count
    Given an entry that knows nobody
    When the store shows no others, and this entry has no record there yet
    And 3 s pass
    Then it counts 10 entries

  Scenario: An entry that knows nobody counts those whose records the store shows
    Given an entry that knows nobody
    When 3 s pass
    And the store shows 8 others, heard of 5 s ago
    Then it counts 9 entries
    When 26 s pass
    And the store shows no others
    Then it counts 9 entries
    When 90 s pass
    And the store shows no others
    Then it counts 1 entry

  Scenario: An entry that was saved to be among many counts as many
    Given an entry that knows nobody, where 60 were saved
    When 60 s pass
    Then it counts 60 entries

  Scenario: An entry that is alone by what the store showed stays so without the store
    Given an entry that knows nobody
    When 3 s pass
    And the store shows no others
    And 60 s pass
    Then it counts 1 entry

  Scenario: An entry among others counts itself and them once gossip has settled
    Given an entry that hears of 8 others
    Then it counts 10 entries
    When 3 s pass
    Then it counts 9 entries

  # After 30 s of silence a cut-off entry took itself for the whole system.
  Scenario: Entries that fell silent are counted until the store shows no group of theirs
    Given an entry that hears of 8 others
    When 2 others fall silent for 29 s
    Then it counts 9 entries, and needs no read
    When 2 s pass
    Then it counts 9 entries, and needs a read
    When the store shows no others
    Then it counts 7 entries, and needs no read

  Scenario: Entries that fell silent are counted while the store shows them
    Given an entry that hears of 8 others
    When 2 others fall silent for 31 s
    And the store shows them, heard of 5 s ago
    Then it counts 9 entries, and needs no read
    When 26 s pass
    Then it counts 9 entries, and needs a read
    When the store shows no others
    Then it counts 7 entries, and needs no read

  Scenario: A minority that sees the store waits four times as long
    Given an entry that hears of 8 others
    When 6 others fall silent for 100 s
    And the store shows no others
    Then it counts 9 entries, and needs no read
    When 6 s pass
    Then it counts 9 entries, and needs a read
    When 20 s pass
    And the store shows no others
    Then it counts 3 entries, and needs no read

  # The others leave it out after a while, and it can't know.
  Scenario: A minority that sees neither the others nor the store spends a part of its part
    Given an entry that hears of 8 others
    When 6 others fall silent for 29 s
    Then it counts 9 entries
    When 2 s pass
    Then it counts 54 entries
    When the store shows them, heard of 1 s ago
    Then it counts 9 entries

  Scenario: A majority that doesn't see the store spends its whole part
    Given an entry that hears of 8 others
    When 2 others fall silent for 600 s
    Then it counts 9 entries

  Scenario: Groups that meet count each other at once
    Given an entry that knows nobody
    When 3 s pass
    And the store shows no others
    Then it counts 1 entry
    When it hears of 8 others
    Then it counts 9 entries
