Feature: The platform's words are read once, and what can't be read changes nothing

  Scenario: A configuration is decoded whole
    Then the example configuration gives its routes, services and organisations

  Scenario: Spoilt configurations and entries are refused with a reason
    Then no spoilt document is ever taken, nor raises anything else

  Scenario: An entry of another writer names no endpoint
    Then entries without a state, of an unknown state or with a foreign address fail

  Scenario: Records survive their encoding, and a cut one is left out
    Then any records come back, and a cut body gives a prefix of them

  Scenario: The settings file becomes checked settings
    Then the example settings file passes the check
    And a settings file without a store is refused with one line
    And a settings file with a bad bound is refused with one line

  Scenario Outline: A mistake in the settings is named by its key
    Given settings whose <key> is <value>
    Then they are refused with a line that names <key>

    Examples:
      | key                    | value          |
      | callers.address        | "no number"    |
      | callers.address        | "10.1.0.999"   |
      | callers.port           | 65536          |
      | callers.port           | "8360"         |
      | peers.seeds.0.address  | "localhost"    |
      | peers.neighbours       | 0              |
      | cloud.port             | -1             |
      | bounds.lease_s         | 0              |
      | bounds.repeat_ratio    | 1.5            |
      | bounds.quota_slack     | null           |
      | logging.level          | "loud"         |
      | store.unknown          | 1              |

  Scenario: A start imports no more than it needs
    Then importing the gateway's command imports neither jsonschema nor blacksheep

  Scenario Outline: A reload that comes during the start doesn't end the process
    Then SIGHUP while "<command>" imports its modules <effect>

    Examples:
      | command | effect     |
      | gateway | is ignored |
      | entry   | is ignored |
      | status  | ends it    |

  Scenario: What a caller sends never passes for the system's own words
    Then no header that the system sets reaches an endpoint from a caller

  Scenario: Refusals are recognised only by the endpoint's own word
    Then only the endpoint's word makes an answer a refusal

  Scenario: A mistake in the settings file ends the start with one line
    Then the gateway's check of a file without an address exits with 2 and one line

  Scenario: The page of the gateway's settings is current
    Then script/settings_reference.py would write the same pages

  Scenario: However calls end, their metrics have the lines that the first call brought
    Given a service of the platform that was called once
    When calls of that kind are answered, refused, lost and not connected
    Then the metrics have as many lines as after the first call

  Scenario: A call that waits at the service has the metric lines of its kind already
    Given a service of the platform that keeps its first call waiting
    When that call is answered
    Then the metrics have as many lines as while it waited
