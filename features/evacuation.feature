Feature: Leaving endpoints

  Scenario: A notice moves running streams with their KV cache
    Given a cluster of 2 entries and 3 engines whose steps take 0.02 s
    When 6 streams of 150 tokens run and one engine gets a notice of 3 s
    Then every answer is complete and correct
    And tokens were moved and none was recomputed
    And the leaving engine got no new stream 2 s after the notice

  Scenario: An import that fails falls back to recomputation
    Given a cluster of 2 entries and 3 engines whose steps take 0.02 s
    And no engine imports a KV cache
    When 6 streams of 150 tokens run and one engine reports its own departure
    Then every answer is complete and correct
    And tokens were recomputed

  Scenario: An engine's own report of its departure is enough
    Given a cluster of 2 entries and 3 engines whose steps take 0.02 s
    And cloud and instance list are unavailable
    When 6 streams of 150 tokens run and one engine reports its own departure
    Then every answer is complete and correct
    And tokens were moved and none was recomputed

  Scenario: Streams wait for a replacement when every engine is reclaimed
    Given a cluster of 2 entries and 2 engines whose steps take 0.02 s
    When 4 streams of 100 tokens run and every engine gets a notice of 1 s
    And a replacement engine starts 1.5 s later under a new name
    Then every answer is complete and correct

  Scenario: A service that leaves finishes its calls and gets no new ones
    Given a cluster of 2 entries and 1 engines whose steps take 0.02 s
    And 2 services whose answers take 0.8 s
    When calls run at both services and one of them gets a notice of 3 s
    Then every call is answered, each having run once
    And the leaving service ran nothing that was sent 1 s after the notice
