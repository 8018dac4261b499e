Feature: Connections that fell silent

  Scenario: A muted connection is replaced and its calls learn of it
    Given a wire server behind a fault proxy
    And a connected wire client
    And an open wire channel
    When the wire connection is muted for good
    Then the wire channel learns that its connection was replaced
    And the wire client can make a call
    And the wire server forgets the muted session

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
