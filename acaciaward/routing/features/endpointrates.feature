Feature: Entries learn together how fast each endpoint answers

  # Guards against equal treatment of endpoints of which some take twice as long.
  Scenario Outline: Few samples of each entry show together which endpoint is slow
    Given <entries> entries and 6 endpoints, of which e-1 takes <times> times as long
    When each entry sends <calls> <kind> calls to random endpoints within 10 s
    Then all entries expect between <least> and <most> times the average time at e-1
    And they expect between 0.7 and 1.05 times the average time at all others

    Examples:
      | entries | calls | kind   | times | least | most |
      | 3       | 120   | plain  | 2.4   | 1.6   | 2.6  |
      | 30      | 12    | plain  | 2.4   | 1.6   | 2.6  |
      | 30      | 12    | prompt | 2.4   | 1.6   | 2.6  |
      | 30      | 12    | prompt | 5     | 3     | 5.5  |

  # Guards against differences that are only chance.
  Scenario Outline: Endpoints that are alike are treated alike
    Given <entries> entries and 30 endpoints that are alike
    When each entry sends <calls> <kind> calls to random endpoints within 10 s
    Then they expect between 0.9 and 1.15 times the average time at all endpoints
    And they expect the average time at more than 26 of them

    Examples:
      | entries | calls | kind   |
      | 3       | 30    | plain  |
      | 3       | 600   | plain  |
      | 30      | 60    | prompt |

  Scenario: An endpoint that gets no calls any more is tried again
    Given 3 entries and 6 endpoints, of which e-1 takes 4 times as long
    When each entry sends 120 plain calls to random endpoints within 10 s
    And 60 s pass in which only other endpoints get calls
    Then they expect between 0.9 and 1.1 times the average time at e-1

  # Guards against an endpoint that recovered and stays avoided by a long average.
  Scenario: An endpoint that has recovered gets calls again within seconds
    Given 3 entries and 6 endpoints, of which e-1 takes 4 times as long
    When each entry sends 120 plain calls to random endpoints within 10 s
    And e-1 takes 1 times as long, and each entry sends 60 plain calls within 5 s
    Then they expect between 0.8 and 1.3 times the average time at e-1

  # Guards against more calls for an endpoint whose failures are fast.
  Scenario Outline: Failures that are answered at once make no endpoint faster
    Given 3 entries and 6 endpoints that are alike
    When each entry sends 120 <kind> calls to random endpoints, and e-1 fails all at once
    Then they expect at least 1 times the average time at e-1

    Examples:
      | kind   |
      | plain  |
      | prompt |

  # Guards against a slow endpoint that isn't noticed as nobody waits for its answers.
  Scenario: Calls that were given up show that their endpoint is slow
    Given 3 entries and 6 endpoints that are alike
    When each entry sends 120 prompt calls to random endpoints, and gives up those at e-1
    Then they expect at least 1.5 times the average time at e-1

  # Guards against an entry that takes endpoints for slow as it stood still itself.
  Scenario: A standstill of an entry says nothing of endpoints
    Given 1 entries and 6 endpoints that are alike
    When each entry sends 120 plain calls to random endpoints within 10 s
    And the entry stands still for 4 s while calls run at e-1
    Then they expect between 0.9 and 1.1 times the average time at e-1

  Scenario: An endpoint that starts again under its name begins without earlier samples
    Given 3 entries and 6 endpoints, of which e-1 takes 4 times as long
    When each entry sends 120 plain calls to random endpoints within 10 s
    And e-1 starts again under its name
    Then they expect between 1 and 1 times the average time at e-1

  # Guards against work that false sums draw to an endpoint.
  Scenario Outline: False sums of others bring an endpoint hardly more work
    Given 1 entries and 6 endpoints that are alike
    When each entry sends 120 plain calls to random endpoints within 10 s
    And <teller> <row> of e-1
    Then they expect at least <least> times the average time at e-1

    Examples:
      | teller                | row                        | least |
      | another entry reports | []                         | 0.9   |
      | another entry reports | [1, 2]                     | 0.9   |
      | another entry reports | [-500, -900, -500, -900]   | 0.9   |
      | another entry reports | [100, -9e300, 100, -9e300] | 0.9   |
      | another entry reports | [1e999, -1, 1e999, -1]     | 0.9   |
      | another entry reports | [9e15, -9e15, 9e15, -9e15] | 0.6   |
      | its reader relays     | nan                        | 0.9   |
      | its reader relays     | -inf                       | 0.9   |
      | its reader relays     | -9e300                     | 0.6   |

  # Guards against a fleet sized by a constant that no engine has.
  Scenario Outline: The typical rate is that of engines that read without a pause
    Given 10 entries and 30 endpoints that read <rate> tokens a second
    When each entry sends <calls> prompt calls, <share> of them behind others
    Then all entries expect engines to read between <least> and <most> tokens a second

    Examples:
      | rate   | calls | share | least | most   |
      | 64000  | 40    | 0.0   | 52000 | 66000  |
      | 101000 | 40    | 0.8   | 82000 | 104000 |
      | 101000 | 1     | 0.0   | 60000 | 60000  |
