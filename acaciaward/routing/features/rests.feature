Feature: Times of rest that endpoints ask for

  Scenario Outline: A later refusal takes nothing back of what an earlier one asked for
    Given endpoints app-1 and app-2 at 0 s
    When app-1 asks for <first> s of rest at 0 s
    And app-1 asks for <second> s of rest at 1 s
    Then app-1 is at rest for <left> s more
    And app-2 is at rest for 0 s more

    Examples:
      | first | second | left |
      | 3     | 0.5    | 2    |
      | 3     | 5      | 5    |
      | 0.25  | 0.5    | 0.5  |

  Scenario: A new start of an endpoint is at rest no more
    Given endpoints app-1 and app-2 at 0 s
    When app-1 asks for 3 s of rest at 0 s
    And app-1 starts anew
    Then app-1 is at rest for 0 s more

  # Guards against a refusal that ends at once because one of the endpoints is at rest.
  Scenario: A service is at rest if all of its endpoints are, until the first may be asked
    Given endpoints app-1 and app-2 at 0 s
    When app-1 asks for 3 s of rest at 0 s
    Then the service is at rest for 0 s more
    When app-2 asks for 5 s of rest at 1 s
    Then the service is at rest for 2 s more
