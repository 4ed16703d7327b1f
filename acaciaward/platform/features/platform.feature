Feature: The platform's records, settings and headers are decoded, or refused with a reason

  Scenario: A configuration is decoded completely
    Then the example configuration gives its routes, services and organisations

  Scenario: Corrupted configurations and endpoint records are refused with a reason
    Then decoding a corrupted document raises no error but one with a reason

  Scenario: A record that describes no endpoint is refused
    Then endpoint records with a missing, unknown or malformed field are refused

  Scenario: Records are decoded as they were encoded, and a truncated one is left out
    Then any records are decoded again, and a truncated body gives a prefix of them

  Scenario: The settings file becomes checked settings
    Then the example settings file passes the check
    And a settings file without a store is refused with one line
    And a settings file with a bad bound is refused with one line

  # One odd seed kept an entry from starting.
  Scenario: Odd seeds are skipped with one line, and all else is used
    Given a settings file whose seeds are odd but for one
    Then it passes the check with that seed alone
    And one line says how many seeds were skipped

  # Seeds were read once; those of a changed file were used after a restart only.
  Scenario: Seeds that change in the settings file are used without a restart
    Given an entry that follows the seeds of its settings file
    When the settings file becomes invalid
    And the settings file gets other seeds
    Then the entry has got these seeds

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

  Scenario Outline: A reload signal during the start doesn't end a serving process
    Then SIGHUP while "<command>" imports its modules <effect>

    Examples:
      | command | effect     |
      | gateway | is ignored |
      | entry   | is ignored |
      | status  | ends it    |

  # Entries that were stopped while they started ended as if they had been killed.
  Scenario Outline: A stop during the start ends a serving process in order
    Then SIGTERM while "<command>" imports its modules <effect>

    Examples:
      | command         | effect          |
      | gateway         | ends it with 0  |
      | entry           | ends it with 0  |
      | gateway --check | ends it         |
      | status          | ends it         |

  # Signals that came after the event loop had closed ended entries with a failure.
  Scenario Outline: A signal during the exit doesn't change how a serving process ends
    Then <signal> while a stopped gateway exits leaves its exit code at 0

    Examples:
      | signal  |
      | SIGHUP  |
      | SIGTERM |
      | SIGINT  |

  Scenario: Headers that only the system may set are never forwarded from a caller
    Then no header that the system sets reaches an endpoint from a caller

  Scenario: An answer is a refusal only if the endpoint says so
    Then only the endpoint's own headers or an unsigned misdirection make a refusal

  Scenario: A mistake in the settings file ends the start with one line
    Then the gateway's check of a file without an address exits with 2 and one line

  Scenario: The page of the gateway's settings is current
    Then script/settings_reference.py would write the same pages

  Scenario: The metrics of calls have the same lines whatever their outcomes
    Given a service of the platform that was called once
    When calls of that kind are answered, refused, lost and not connected
    Then the metrics have as many lines as after the first call

  Scenario: A call that still waits at the service already has the metric lines of its kind
    Given a service of the platform that keeps its first call waiting
    When that call is answered
    Then the metrics have as many lines as while it waited
