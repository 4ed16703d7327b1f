Feature: How a stream leaves an endpoint that is being reclaimed

  Scenario Outline: The way depends on time, size and the deployment's weights
    Given a stream of <context> tokens with <remaining> to come at 0.01 s each
    And <left> s left, <bytes> bytes a token and 200000000 bytes a second
    When the weights are <cost> for cost and <recomputed> for recomputed tokens
    Then the way is "<way>"

    Examples:
      | context | remaining | left | bytes  | cost | recomputed | way       |
      | 500     | 400       | 3    | 1024   | 0.8  | 0.2        | move_kv   |
      | 500     | 400       | 3    | 1024   | 0.2  | 0.8        | move_kv   |
      | 60      | 400       | 3    | 1024   | 0.8  | 0.2        | recompute |
      | 60      | 400       | 3    | 1024   | 0.2  | 0.8        | move_kv   |
      | 500     | 100       | 3    | 1024   | 0.2  | 0.8        | finish    |
      | 500     | 400       | 0.01 | 1024   | 0.2  | 0.8        | recompute |
      | 500     | 400       | 3    | 100000 | 0.2  | 0.8        | recompute |

  Scenario: Urgent streams are moved first, then those with the nearest deadline
    Given streams of every class and deadline
    Then their order is urgent, short and long, each by its deadline

  Scenario: A byte budget delays transfers of one endpoint
    Given a budget of 1000000 bytes a second
    When 300000 and then 100000 bytes are reserved at one endpoint
    Then the next transfer there waits between 0.2 and 0.4 s, and elsewhere not

  Scenario Outline: Reading the instance list costs an entry a bounded byte rate
    Given a pause of 0.5 s and a bound of 10000 bytes a second for the instance list
    Then a list of <count> instances is read every <least> to <most> s

    Examples:
      | count | least | most |
      | 9     | 0.5   | 0.5  |
      | 770   | 15    | 20   |
