Feature: Orders are sent to targets soon after the options change

  Scenario: Weights set while another order settles are ordered afterwards
    Given a leader with scripted targets and a simulated clock
    When the weights option changes before the first order has settled
    Then the new weights are ordered within two checks after it has settled

  Scenario: An order that waited for other loads is sent only if still needed
    Given a leader with 3 scripted targets and a simulated clock
    When one target comes to serve the weights while its order waits
    Then each target got at most one order, that one none

  Scenario: A leader that lost leadership meanwhile drops an order that waited
    Given a leader with 3 scripted targets and a simulated clock
    When another leader starts the load whose order waits here
    Then each target got at most one order, that one none
