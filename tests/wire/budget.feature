Feature: Byte budget for traffic to agents other than requests

  Scenario Outline: The heartbeat interval grows with the connections: <connections> of <targets>
    Given a byte budget of 4800 a second in a fleet of <targets> targets
    When <connections> connections to agents are open
    Then an idle one has a heartbeat each <interval> ms

    Examples:
      | targets | connections | interval |
      | 6       | 6           | 500      |
      | 9       | 9           | 500      |
      | 64      | 64          | 3493     |
      | 940     | 100         | 54583    |
      | 940     | 900         | 491250   |
      | 940     | 1200        | 600000   |

  Scenario: Inquiries stay within the remaining bytes
    Given a byte budget of 4800 a second in a fleet of 940 targets
    When 4 requests a second ask 6 agents each for 60 s
    Then at most 267840 bytes were spent on asking
    And each request asked at least 2 agents

  Scenario: Connections for requests take precedence over inquiries
    Given a byte budget of 4800 a second in a fleet of 940 targets
    When 4 connections a second are made for 60 s
    Then no agent may be asked
    And agents may be asked again after 20 s

  Scenario: No connection is opened for an inquiry in a large fleet
    Given an entry that knows 940 targets and is connected to 2 of them
    When it asks 6 agents for a request
    Then it made no connection and sent 2 inquiries

  Scenario: Connections are opened for inquiries in a small fleet
    Given an entry that knows 6 targets and is connected to 2 of them
    When it asks 6 agents for a request
    Then it made 4 connections and sent 2 inquiries

  Scenario: In a large fleet only targets that replied are compared
    Given an entry that is connected to 70 engines, each with a long queue
    When it has bytes left to ask 3 agents and chooses a target
    Then it chose one of the 3 that it asked

  Scenario: An entry can connect to hundreds of agents
    Then a context has room for 2000 connections that are watched
    And no more are kept than it has room for

  Scenario: Connections to agents stay open for longer, up to a maximum number
    Given a pool of an entry's connections, 3 to agents and 1 to control
    When they are unused for 60000 ms
    Then 3 connections to agents are kept
    When the limit on open files leaves room for 2
    Then 2 connections to agents are kept
    When they are unused for 1800000 ms
    Then 0 connections to agents are kept
    And only connections made again take bytes from the budget
