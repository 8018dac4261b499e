Feature: Control instances join and leave the group by themselves

  Scenario Outline: A silent voter is removed only if the number of voters is even
    Given a group of <voters> voters of which <silent> are silent for <ms> ms
    Then <surplus> may be removed

    Examples:
      | voters | silent | ms    | surplus   |
      | 3      | 1      | 60000 | no voter  |
      | 4      | 0      | 0     | no voter  |
      | 4      | 1      | 1000  | no voter  |
      | 4      | 1      | 60000 | one voter |
      | 4      | 2      | 60000 | no voter  |
      | 5      | 1      | 60000 | no voter  |
      | 6      | 1      | 60000 | one voter |
