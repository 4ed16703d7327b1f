Feature: Endpoints ask an entry to back off

  Scenario Outline: A later refusal takes nothing back of what an earlier one asked for
    Given endpoints app-1 and app-2 at 0 s
    When app-1 asks for a back-off of <first> s at 0 s
    And app-1 asks for a back-off of <second> s at 1 s
    Then app-1 is left alone for <left> s more
    And app-2 is left alone for 0 s more

    Examples:
      | first | second | left |
      | 3     | 0.5    | 2    |
      | 3     | 5      | 5    |
      | 0.25  | 0.5    | 0.5  |

  Scenario: A new start of an endpoint is left alone no more
    Given endpoints app-1 and app-2 at 0 s
    When app-1 asks for a back-off of 3 s at 0 s
    And app-1 starts anew
    Then app-1 is left alone for 0 s more

  # Guards against requests during a back-off as the endpoint's record comes and goes.
  Scenario Outline: A back-off holds when the endpoint's record goes and comes back
    Given endpoints app-1 and app-2 at 0 s
    When app-1 asks for a back-off of 3 s at 1 s
    And app-1 loses its record, and has it back <record>
    Then app-1 is left alone for 3 s more

    Examples:
      | record                            |
      | as it was                         |
      | without its start                 |
      | with a start that was just listed |

  # Guards against a refusal that ends at once because one of the endpoints asked to back off.
  Scenario: A service is left alone if all of its endpoints are, until the first may be asked
    Given endpoints app-1 and app-2 at 0 s
    When app-1 asks for a back-off of 3 s at 0 s
    Then the service is left alone for 0 s more
    When app-2 asks for a back-off of 5 s at 1 s
    Then the service is left alone for 2 s more
