Feature: Patient prompts don't delay urgent ones

  Scenario Outline: Urgent requests are on time when there are few engines
    Given 74 entries with long patient and short urgent requests, and <engines>
    When <kind> requests double for 5 s, with and without a share for patient requests
    Then the share raises the worth by <gain> or more, to <worth> or more
    And it raises the worth of the worst 2 s by <worst> or more
    And <short> of the short and <long> of the long requests are on time
    And no kind is starved, nor are the longest prompts
    And no request waits at an entry for more than half of its time

    Examples:
      | engines | kind | gain | worst | worth | short | long |
      | 20 engines | long | 0.10 | 0.10 | 0.96 | 0.96 | 0.95 |
      | 20 engines | short | 0.10 | 0.10 | 0.96 | 0.96 | 0.95 |
      | 12 engines | long | 0.20 | 0.20 | 0.65 | 0.70 | 0.50 |
      | 9 engines | long | 0.02 | 0.0 | 0.28 | 0.25 | 0.25 |
      | 16 engines | long | 0.20 | 0.20 | 0.90 | 0.90 | 0.80 |
      | 16 engines | short | 0.20 | 0.20 | 0.88 | 0.88 | 0.80 |
      | 30 engines of which 18 are lost | long | 0.07 | 0.07 | 0.90 | 0.90 | 0.85 |
      | 30 engines of which 18 are lost | short | 0.07 | 0.07 | 0.90 | 0.90 | 0.85 |

  Scenario Outline: Nothing is lost where there are enough engines
    Given 74 entries with long patient and short urgent requests, and 45 engines
    When <kind> requests double for 5 s, with and without a share for patient requests
    Then the share raises the worth by -0.002 or more, to 0.99 or more
    And at most 0.03 more of the long streams are paused, and none of the short ones

    Examples:
      | kind  |
      | long  |
      | short |

  Scenario Outline: Which routes are patient depends on objectives and ranks
    Given a service with routes of objectives and ranks <routes>
    Then its patient routes are <patient>

    Examples:
      | routes                | patient |
      | 0.522/0 2.545/2       | 1       |
      | 0.822/0 0.845/0       | none    |
      | 0.5/0 1.499/1         | none    |
      | 0.5/0 1.5/0           | 1       |
      | 0.5/1 2.5/0           | none    |
      | 0.5/1 2.5/1 1.0/2 9/2 | 1 3     |
      | 0.0/0 2.5/2           | none    |

  Scenario: Routes without prompts and routes that lead elsewhere don't count
    Given a service with routes of objectives and ranks 2.545/2
    And a route of objective 0.1 that leads there with weight 0
    Then its patient routes are none

  Scenario: Services without prompts have no patient routes
    Given a service with routes of objectives and ranks 0.522/0 2.545/2
    When it has no engines
    Then its patient routes are none
    But with routes that have prompts, its patient routes are 1

  Scenario Outline: Patient and urgent requests always get an endpoint each
    Then of <count> endpoints and a share of <share>, <kept> are for patient prompts

    Examples:
      | count | share | kept |
      | 3     | 0.5   | 0    |
      | 4     | 0.0   | 0    |
      | 4     | 0.01  | 1    |
      | 4     | 1.0   | 3    |
      | 30    | 0.57  | 15   |
      | 30    | 0.73  | 21   |

  Scenario: Few endpoints are reassigned when the share or the endpoints change
    Then with one of 30 endpoints less, at most 1 other changes between the shares
    And with a higher share, patient requests keep all endpoints that they have

  Scenario: A service without patient routes is served as before
    Given 30 endpoints with random loads, known to an entry
    Then 200 calls of a service without patient routes go where placement alone sends them

  Scenario: Sums of patient requests pass through builds that don't know them
    Given an entry that reports what patient requests bring
    Then its demand is read by builds that expect three figures of each service
    And an entry that receives the sum has the share, and no demand of another service

  Scenario Outline: Odd sums don't send calls astray
    When an entry receives the sums <figures>
    Then the share for patient requests is <share>

    Examples:
      | figures       | share |
      | -5 -5 -5      | 0     |
      | 1 0 0         | 1     |
      | 1 1           | 0.5   |
      | 1 3 0 7       | 0.25  |
      | nan 1 0       | 0     |
      | inf 1 0       | 0     |

  Scenario: Entries that see the same room share it
    Given 74 entries in each of which one prompt of 6000 tokens waits
    When each looks 10 times whether it may use a room of 60000 tokens
    Then 3 to 20 of them send their prompt
    And after the next report, others may

  Scenario: Old sums are replaced by what the entry measures itself
    Given an entry that has received sums with a share of 0.8
    When it hears nothing for 4 s
    Then the share for patient requests is 0
