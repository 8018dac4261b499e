Feature: Both ends of a connection get the newer fleet view

  Scenario: A server gets the newer view of a client
    Given a wire server at view revision 2
    And a connected wire client at view revision 5
    Then the wire server reaches view revision 5

  Scenario: A client gets the newer view of a server
    Given a wire server at view revision 5
    And a connected wire client at view revision 2
    Then the wire client reaches view revision 5

  Scenario: Later changes of a view reach a connected peer
    Given a wire server at view revision 5
    And a connected wire client at view revision 5
    When the wire server's view changes 3 times
    Then the wire client reaches view revision 8

  Scenario: A frame that needs a newer view waits until that view is applied
    Given a wire server at view revision 2
    And a connected wire client at view revision 5
    When the wire client's view changes and it makes a call
    Then the wire server handled the call at view revision 6

  Scenario: A view that is too old is replaced as a whole
    Given a wire server at view revision 1500
    And a connected wire client at view revision 2
    Then the wire client reaches view revision 1500

  Scenario: A peer with an older view does not overwrite a newer one
    Given a wire server at view revision 5
    And a connected wire client at view revision 5
    When a raw wire peer opens a session and sends a whole view of revision 3
    Then the wire server stays at view revision 5
    And the wire client can make a call

  Scenario: An entry gets the teams through an agent that had none
    Given a wire server at view revision 1500
    And a wire agent without teams that is connected to it
    And an entry that is connected only to the wire agent
    Then the entry gets the whole view, with its teams
