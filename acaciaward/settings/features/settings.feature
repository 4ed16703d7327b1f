Feature: Checked settings

  Scenario Outline: A mistake is reported in one line with the key's path
    Given the settings of an entry
    When <path> is set to <value>
    Then they are refused with one line that names <named>

    Examples:
      | path                    | value           | named                   |
      | callers.port            | "http"          | callers.port            |
      | callers.port            | 70000           | callers.port            |
      | callers.address         | "entry.example" | callers.address         |
      | callers.colour          | "red"           | colour                  |
      | instance.name           | "Entry One"     | instance.name           |
      | platform.log.address    | "localhost"     | platform.log.address    |
      | peers.probe_interval_s  | 0               | peers.probe_interval_s  |
      | claims.window_s         | "10 minutes"    | claims.window_s         |
      | peers.secret_key        | "short"         | peers.secret_key        |

  Scenario: A missing required key is named in the error
    Given the settings of an entry
    When instance.data_centre is left out
    Then they are refused with one line that names data_centre

  Scenario: Every key has a default or is required, and is described
    Then every key of the schema is described in the reference
    And every default satisfies the schema

  Scenario: The example settings pass the check
    Then settings check passes on all 18 examples
