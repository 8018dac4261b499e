Feature: The newer fleet view is handed over

  Scenario: A client hands its newer view to the server
    Given a wire server at view revision 2
    And a connected wire client at view revision 5
    Then the wire server reaches view revision 5

  Scenario: A server hands its newer view to the client
    Given a wire server at view revision 5
    And a connected wire client at view revision 2
    Then the wire client reaches view revision 5

  Scenario: A view changed later reaches a connected peer
    Given a wire server at view revision 5
    And a connected wire client at view revision 5
    When the wire server's view changes 3 times
    Then the wire client reaches view revision 8

  Scenario: A frame of a newer view waits until that view is in force
    Given a wire server at view revision 2
    And a connected wire client at view revision 5
    When the wire client's view changes and it makes a call
    Then the wire server handled the call at view revision 6

  Scenario: Too old a view is replaced as a whole
    Given a wire server at view revision 1500
    And a connected wire client at view revision 2
    Then the wire client reaches view revision 1500

  Scenario: A peer with an older view takes none back
    Given a wire server at view revision 5
    And a connected wire client at view revision 5
    When a raw wire peer hands over a whole view of revision 3
    Then the wire server stays at view revision 5
    And the wire client can make a call

  Scenario: An entry gets the teams through an agent that held none
    Given a wire server at view revision 1500
    And a wire agent without teams that is connected to it
    And an entry that is connected to the wire agent alone
    Then the entry gets the whole view, with its teams
