Feature: Orders to targets are given soon after they are wanted

  Scenario: Weights wanted while another order settles are ordered after that
    Given a leader of scripted targets on a clock of its own
    When other weights are wanted before the first order has settled
    Then they are ordered within two checks of its settling
