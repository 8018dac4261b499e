Feature: Silent and lost connections

  Scenario: A silent connection is replaced and its calls are notified
    Given a wire server behind a fault proxy
    And a connected wire client
    And an open wire channel
    When the wire connection stops carrying any bytes for good
    Then the wire channel gets the event that its connection was replaced
    And the wire client can make a call
    And the wire server closes the silent session

  Scenario: A connection is replaced on request of its owner
    Given a wire server behind a fault proxy
    And a connected wire client
    And an open wire channel
    When the wire client asks for a reconnect
    Then the wire channel gets the event that its connection was replaced
    And the wire client can make a call

  Scenario: A restarted peer has another incarnation
    Given a wire server behind a fault proxy
    And a connected wire client
    And an open wire channel
    When the wire server restarts
    Then the wire channel gets an event with the new incarnation

  Scenario: A call to an unreachable peer is not sent later
    Given a wire server behind a fault proxy
    And a connected wire client
    When the wire server stops and a call is made meanwhile
    Then the wire call was not sent
    When the wire server starts again
    Then the wire client can make a call
    And the wire server handled 1 frame

  Scenario: A call in flight ends when its connection is lost
    Given a wire server behind a fault proxy
    And a connected wire client
    When a wire call is in flight and the server stops for good
    Then the wire call ends at once with an unknown outcome

  Scenario Outline: A requested heartbeat interval is limited: <requested> of <allowed>
    Given a wire server that allows <allowed> ms between control heartbeats
    And a wire client of a control instance that requests <requested> ms between heartbeats
    Then both wire ends agreed on <agreed> ms between heartbeats

    Examples:
      | requested | allowed | agreed |
      | 3000      | 2000    | 2000   |
      | 2000      | 3000    | 2000   |
      | 2000      | 0       | 0      |
      | 0         | 2000    | 0      |

  Scenario: A call in flight restores the short silence limit
    Given a wire server that allows an hour between control heartbeats
    And a fault proxy before the wire server
    And a wire client of a control instance that requests an hour between heartbeats
    And an open wire channel
    When the wire connection stops carrying any bytes for good
    Then the wire channel gets the event that its connection was replaced

  Scenario: A silent idle connection to a control instance is replaced
    Given a wire server that allows 300 ms between control heartbeats
    And a fault proxy before the wire server
    And a wire client of a control instance that requests 300 ms between heartbeats
    When the wire connection stops carrying any bytes for good
    Then the wire client counts a silent connection
    And the wire client can make a call
    And the wire server closes the silent session

  Scenario: Calls reach a peer whose Welcome was processed late
    Given a wire server whose process is blocked for 300 ms after a welcome
    And a connected wire client
    Then a wire call with a timeout of 200 ms is answered within 2 s
