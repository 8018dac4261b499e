Feature: Orders to targets are given soon after they are wanted

  Scenario: Weights wanted while another order settles are ordered after that
    Given a leader of scripted targets on a clock of its own
    When other weights are wanted before the first order has settled
    Then they are ordered within two checks of its settling

  Scenario: An order that waited for other loads is given if still wanted
    Given a leader of 3 scripted targets on a clock of its own
    When one target serves the wanted weights while its order waits
    Then each target was ordered once at most, that one never

  Scenario: An order that waited is not given by a leader that had lost office
    Given a leader of 3 scripted targets on a clock of its own
    When another leader begins the load whose order waits here
    Then each target was ordered once at most, that one never
