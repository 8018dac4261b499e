Feature: All findings of a settings file at once

  Scenario: Faults of every kind are reported together with their lines
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
      | 7    | wire      | heartbeat_ms    | already in line 6           |
      | 8    | wire      | silence_ms      | below 2 heartbeats          |
      | 10   | control   | members         | expected instance@ip:port   |
      | 12   | entry     | http_port       | less than or equal to 65535 |
      | 13   | log_store |                 | one role only               |
      | 15   | log_store | leader_lease_ms | not below election_timeout  |
      | 16   | other     |                 | unknown section             |

  Scenario Outline: <option> = <value> in [<section>] is a finding
    Given a good settings file of "<section>"
    When the settings option "<option>" of "<section>" is set to "<value>"
    And the settings are loaded
    Then the settings have one finding, of "<option>", about "<problem>"

    Examples:
      | section   | option              | value             | problem               |
      | agent     | url                 | http://host:80    | expected http://ip    |
      | agent     | url                 | https://10.0.0.1  | expected http://ip    |
      | agent     | url                 | http://10.0.0.1:x | Port                  |
      | agent     | kv_store_url        | 10.0.0.1:80       | expected http://ip    |
      | agent     | model               |                   | needs its model       |
      | agent     | slots               | 0                 | greater than or equal |
      | log_store | leader_lease_ms     | 900               | two leaders           |
      | log_store | data_folder         | /dev/null         | not a folder          |
      | log_store | data_folder         |                   | empty                 |
      | log_store | platform_url        | http://platform:1 | expected http://ip    |
      | log_store | operator_key_file   | /dev/null/none    | can't be read         |
      | log_store | join                | perhaps           | boolean               |
      | entry     | operator_key_file   | /dev/null/none    | can't be read         |
      | entry     | max_body_bytes      | 8388608           | over what a frame     |
      | wire      | idle_close_ms       | 1000              | below silence_ms      |
      | wire      | control_heartbeat_ms | 400              | below heartbeat_ms    |
      | wire      | curve_peers_file    | /dev/null         | needs curve_secret    |
      | instance  | ip                  | 0.0.0.0           | can't reach           |
      | metrics   | statsd_ip           | statsd            | not an IP number      |
      | control   | members             | z@10.0.0.1:1      | not among them        |
      | control   | members             | b@10.0.0.1:0      | port 0                |
      | log       | level               | loud              | 'debug'               |

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

  Scenario Outline: What a role needs where entries reach targets directly
    Given a good settings file of "<section>"
    When the settings option "<option>" of "direct" is set to "<value>"
    And the settings are loaded
    Then the settings have one finding, of "<finding>", about "<problem>"

    Examples:
      | section   | option           | value        | finding          | problem          |
      | entry     | caller_address   | 10.0.0.1:80  | ready_address    | role needs it    |
      | log_store | operator_address | 10.0.0.1:80  | list_address     | role needs it    |
      | entry     | caller_address   | 10.0.0.1     | caller_address   | expected ip:port |
      | entry     | caller_address   | there:80     | caller_address   | does not appear  |

  Scenario Outline: A file that is no INI is a finding: <text>
    Given a settings file that reads "<text>"
    When the settings are loaded
    Then the settings have one finding, of "", about "<problem>"

    Examples:
      | text         | problem                |
      | name = b     | before the first       |
      | [instance]\n]| not an option          |

  Scenario: A missing file is a finding
    When a settings file that is not there is loaded
    Then the settings have one finding, of "", about "No such file"

  Scenario: Any text is either settings or findings
    Then loading any text gives settings or findings

  Scenario: The reference pages are current
    Then the settings reference page is what its tool writes
    And the fleet options page is what its tool writes
