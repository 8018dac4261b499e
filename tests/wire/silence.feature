Feature: Connections that fell silent

  Scenario: A muted connection is replaced and its calls learn of it
    Given a wire server behind a fault proxy
    And a connected wire client
    And an open wire channel
    When the wire connection is muted for good
    Then the wire channel learns that its connection was replaced
    And the wire client can make a call
    And the wire server forgets the muted session

  Scenario: A connection is replaced when its owner finds it silent
    Given a wire server behind a fault proxy
    And a connected wire client
    And an open wire channel
    When the wire client has its connection renewed
    Then the wire channel learns that its connection was replaced
    And the wire client can make a call

  Scenario: A restarted peer is another incarnation
    Given a wire server behind a fault proxy
    And a connected wire client
    And an open wire channel
    When the wire server restarts
    Then the wire channel learns of the new incarnation

  Scenario: A call to a peer that is away is not sent later
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
    Then the wire call ends at once, with its outcome unknown

  Scenario Outline: A peer's wish for few heartbeats is agreed: <wish> of <allowed>
    Given a wire server that allows <allowed> ms between control heartbeats
    And a wire client of control that wishes <wish> ms between heartbeats
    Then both wire ends agreed on <agreed> ms between heartbeats

    Examples:
      | wish | allowed | agreed |
      | 3000 | 2000    | 2000   |
      | 2000 | 3000    | 2000   |
      | 2000 | 0       | 0      |
      | 0    | 2000    | 0      |

  Scenario: A call in flight brings the short silence back
    Given a wire server that allows an hour between control heartbeats
    And a fault proxy before the wire server
    And a wire client of control that wishes an hour between heartbeats
    And an open wire channel
    When the wire connection is muted for good
    Then the wire channel learns that its connection was replaced

  Scenario: An idle connection of control that went silent is replaced
    Given a wire server that allows 300 ms between control heartbeats
    And a fault proxy before the wire server
    And a wire client of control that wishes 300 ms between heartbeats
    When the wire connection is muted for good
    Then the wire client counts a silent connection
    And the wire client can make a call
    And the wire server forgets the muted session

  Scenario: Calls reach a peer whose welcome was read late
    Given a wire server whose process stands still for 300 ms after a welcome
    And a connected wire client
    Then a wire call that may take 200 ms is answered within 2 s
