Feature: Validation of settings files

  Scenario: Problems of every kind are reported together with their lines
    Given the settings file
      """
      [instance]
      name = x y
      ip = 10.0.0.300
      zone = b
      [wire]
      heartbeat_ms = 500
      heartbeat_ms = 600
      silence_ms = 700
      [control]
      members = a@10.0.0.1:1, a@10.0.0.1
      [entry]
      http_port = 99999
      [log_store]
      data_folder = /var/lib/x
      leader_lease_ms = 1000
      [other]
      """
    When the settings are loaded
    Then the settings findings are
      | line | section   | option          | problem                     |
      | 1    | instance  | failure_domain  | missing                     |
      | 2    | instance  | name            | should match pattern        |
      | 3    | instance  | ip              | not appear to be an IPv4    |
      | 4    | instance  | zone            | unknown option              |
      | 7    | wire      | heartbeat_ms    | already set in line 6       |
      | 8    | wire      | silence_ms      | below 2 heartbeats          |
      | 10   | control   | members         | expected instance@ip:port   |
      | 12   | entry     | http_port       | less than or equal to 65535 |
      | 13   | log_store |                 | only one role               |
      | 15   | log_store | leader_lease_ms | not below election_timeout  |
      | 16   | other     |                 | unknown section             |

  Scenario Outline: <option> = <value> in [<section>] is a finding
    Given a valid settings file for "<section>"
    When the settings option "<option>" of "<section>" is set to "<value>"
    And the settings are loaded
    Then the settings have one finding, of "<option>", about "<problem>"

    Examples:
      | section   | option               | value             | problem                |
      | agent     | url                  | http://host:80    | expected http://ip     |
      | agent     | url                  | https://10.0.0.1  | expected http://ip     |
      | agent     | url                  | http://10.0.0.1:x | Port                   |
      | agent     | kv_store_url         | 10.0.0.1:80       | expected http://ip     |
      | agent     | model                |                   | required for an engine |
      | agent     | slots                | 0                 | greater than or equal  |
      | log_store | leader_lease_ms      | 900               | two leaders            |
      | log_store | data_folder          | /dev/null         | not a folder           |
      | log_store | data_folder          |                   | empty                  |
      | log_store | platform_url         | http://platform:1 | expected http://ip     |
      | log_store | operator_key_file    | /dev/null/none    | can't be read          |
      | log_store | join                 | perhaps           | boolean                |
      | entry     | operator_key_file    | /dev/null/none    | can't be read          |
      | entry     | max_body_bytes       | 8388608           | larger than a frame    |
      | wire      | idle_close_ms        | 1000              | below silence_ms       |
      | wire      | control_heartbeat_ms | 400               | below heartbeat_ms     |
      | wire      | curve_peers_file     | /dev/null         | requires curve_secret  |
      | instance  | ip                   | 0.0.0.0           | can't connect          |
      | metrics   | statsd_ip            | statsd            | not an IP address      |
      | control   | members              | z@10.0.0.1:1      | not a member           |
      | control   | members              | b@10.0.0.1:0      | port 0                 |
      | log       | level                | loud              | 'debug'                |

  # Values that a template has none for made a process refuse to start.
  Scenario: Each optional option without a value has its default
    Given a valid settings file for each role
    When each optional option is set to nothing, and the settings are loaded
    Then the settings are those of a file without these options

  # Guards against templates that other renderers can't fill in.
  Scenario Outline: The template <file> is filled in by plain placeholders
    When the template <file> is filled in by a reader of plain names
    Then its settings are loaded without findings

    Examples:
      | file               |
      | deploy/control.ini |
      | deploy/entry.ini   |

  Scenario: A file without a role is a finding
    Given the settings file
      """
      [instance]
      name = b
      failure_domain = d
      [control]
      members = b@10.0.0.1:1
      """
    When the settings are loaded
    Then the settings have one finding, of "", about "no role"

  Scenario Outline: Addresses that a role requires without agents
    Given a valid settings file for "<section>"
    When the settings option "<option>" of "direct" is set to "<value>"
    And the settings are loaded
    Then the settings have one finding, of "<finding>", about "<problem>"

    Examples:
      | section   | option           | value       | finding        | problem                |
      | entry     | caller_address   | 10.0.0.1:80 | ready_address  | required for this role |
      | log_store | operator_address | 10.0.0.1:80 | list_address   | required for this role |
      | entry     | caller_address   | 10.0.0.1    | caller_address | expected ip:port       |
      | entry     | caller_address   | there:80    | caller_address | does not appear        |

  Scenario Outline: A file that is not INI is a finding: <text>
    Given a settings file that reads "<text>"
    When the settings are loaded
    Then the settings have one finding, of "", about "<problem>"

    Examples:
      | text          | problem          |
      | name = b      | before the first |
      | [instance]\n] | not an option    |

  Scenario: A missing file is a finding
    When a settings file that does not exist is loaded
    Then the settings have one finding, of "", about "No such file"

  Scenario: Any text either loads as settings or yields findings
    Then loading any text returns settings or raises findings

  Scenario: The generated reference pages are up to date
    Then the settings reference page equals the output of its tool
    And the fleet options page equals the output of its tool
