Feature: Idle connections with rare heartbeats

  Scenario: An idle connection shows as few signs of life as the budget has
    Given an agent's wire end behind a fault proxy
    And an entry's wire connection with 60000 ms between idle heartbeats
    When nothing is sent for 1000 ms
    Then the agent's wire end heard nothing and keeps the session

  Scenario: A peer that agrees to nothing gets the short heartbeats
    Given a wire server
    And an entry's wire connection with 60000 ms between idle heartbeats
    Then both wire ends agreed on 0 ms between heartbeats

  Scenario: More connections make heartbeats rarer on those that are there
    Given an agent's wire end behind a fault proxy
    And an entry's wire connection with 60 ms between idle heartbeats
    When the budget allows 60000 ms between idle heartbeats
    Then both wire ends follow that
    When nothing is sent for 1000 ms
    Then the agent's wire end heard nothing and keeps the session

  Scenario: A change of the fleet is not pushed to connections that rest
    Given an agent's wire end behind a fault proxy
    And an entry's wire connection with 60000 ms between idle heartbeats
    When the fleet changes at both wire ends
    And nothing is sent for 500 ms
    Then no wire end pushed the change
    And the agent's wire end heard nothing and keeps the session

  Scenario: A call of a newer view is handled on a connection that rests
    Given an agent's wire end behind a fault proxy
    And an entry's wire connection with 60000 ms between idle heartbeats
    When the entry's fleet view is newer and can't be had from the entry
    And a wire call is held back until the agent has that view from elsewhere
    Then the wire call is done

  Scenario: A muted idle connection is replaced before its first use
    Given an agent's wire end behind a fault proxy
    And an entry's wire connection with 60000 ms between idle heartbeats
    When nothing is sent for 200 ms
    And the wire connection is muted for good
    Then probing the wire connection has it replaced
    And the wire client can make a call

  Scenario: A call on an idle connection needs no heartbeat beside it
    Given the pace of a connection with 60000 ms between idle heartbeats
    When a call begins after 30000 ms
    Then a heartbeat is due after 500 ms without an answer, and not before

  Scenario: A live idle connection is kept when it is probed
    Given an agent's wire end behind a fault proxy
    And an entry's wire connection with 60000 ms between idle heartbeats
    When nothing is sent for 200 ms
    Then probing the wire connection keeps it

  Scenario: A request in flight brings the short silence back at the entry
    Given an agent's wire end behind a fault proxy
    And an entry's wire connection with 60000 ms between idle heartbeats
    And an open wire channel
    When the wire connection is muted for good
    Then the wire channel learns that its connection was replaced

  Scenario: An answer that is waited for brings the short silence back at the agent
    Given an agent's wire end behind a fault proxy
    And an entry's wire connection with 60000 ms between idle heartbeats
    When the agent's wire end serves the session
    And the wire connection is muted for good
    Then the wire server forgets the muted session
