Feature: Idle connections with long heartbeat intervals

  Scenario: An idle connection uses the heartbeat interval of the budget
    Given an agent's wire end behind a fault proxy
    And an entry's wire connection with 60000 ms between idle heartbeats
    When nothing is sent for 1000 ms
    Then the agent's wire end received nothing and keeps the session

  Scenario: A peer that agrees to no interval gets the short one
    Given a wire server
    And an entry's wire connection with 60000 ms between idle heartbeats
    Then both wire ends agreed on 0 ms between heartbeats

  Scenario: More connections lengthen the interval on existing connections
    Given an agent's wire end behind a fault proxy
    And an entry's wire connection with 60 ms between idle heartbeats
    When the budget allows 60000 ms between idle heartbeats
    Then both wire ends use that interval
    When nothing is sent for 1000 ms
    Then the agent's wire end received nothing and keeps the session

  Scenario: A change of the fleet is not pushed to idle connections
    Given an agent's wire end behind a fault proxy
    And an entry's wire connection with 60000 ms between idle heartbeats
    When the fleet changes at both wire ends
    And nothing is sent for 500 ms
    Then no wire end pushed the change
    And the agent's wire end received nothing and keeps the session

  Scenario: A call that needs a newer view is handled on an idle connection
    Given an agent's wire end behind a fault proxy
    And an entry's wire connection with 60000 ms between idle heartbeats
    When the entry's fleet view is newer and can't be fetched from the entry
    And a wire call is held back until the agent gets that view from another peer
    Then the wire call is done

  Scenario: A silent idle connection is replaced before its next use
    Given an agent's wire end behind a fault proxy
    And an entry's wire connection with 60000 ms between idle heartbeats
    When nothing is sent for 200 ms
    And the wire connection stops carrying any bytes for good
    Then a probe replaces the wire connection
    And the wire client can make a call

  Scenario: A call on an idle connection needs no additional heartbeat
    Given a heartbeat schedule with 60000 ms between idle heartbeats
    When a call begins after 30000 ms
    Then a heartbeat is due after 500 ms without a reply, and not before

  Scenario: A live idle connection is kept when it is probed
    Given an agent's wire end behind a fault proxy
    And an entry's wire connection with 60000 ms between idle heartbeats
    When nothing is sent for 200 ms
    Then a probe keeps the wire connection

  Scenario: A request in flight restores the short silence limit at the entry
    Given an agent's wire end behind a fault proxy
    And an entry's wire connection with 60000 ms between idle heartbeats
    And an open wire channel
    When the wire connection stops carrying any bytes for good
    Then the wire channel gets the event that its connection was replaced

  Scenario: A pending answer restores the short silence limit at the agent
    Given an agent's wire end behind a fault proxy
    And an entry's wire connection with 60000 ms between idle heartbeats
    When the agent's wire end prepares an answer for the session
    And the wire connection stops carrying any bytes for good
    Then the wire server closes the silent session
