Feature: Control instances take each other in

  Scenario Outline: A silent voter goes only where an even number needs none
    Given a group of <voters> voters of which <silent> are silent for <ms> ms
    Then <surplus> may leave

    Examples:
      | voters | silent | ms    | surplus   |
      | 3      | 1      | 60000 | nobody    |
      | 4      | 0      | 0     | nobody    |
      | 4      | 1      | 1000  | nobody    |
      | 4      | 1      | 60000 | one voter |
      | 4      | 2      | 60000 | nobody    |
      | 5      | 1      | 60000 | nobody    |
      | 6      | 1      | 60000 | one voter |
