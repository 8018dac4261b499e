Feature: Route tables

  Scenario Outline: The longest prefix that begins the path decides
    Given a route table with the prefixes "/a/", "/a/b/" and "/c/"
    When the route of host "<host>" and path "<path>" is looked up
    Then the route's prefix is "<prefix>"

    Examples:
      | host       | path    | prefix |
      | one.test   | /a/x    | /a/    |
      | one.test   | /a/b/x  | /a/b/  |
      | ONE.test   | /a/b/   | /a/b/  |
      | one.test   | /a/b    | /a/    |
      | one.test   | /c/d/e  | /c/    |
      | one.test   | /a      | none   |
      | one.test   | /x/a/   | none   |
      | other.test | /a/x    | none   |

  @promise.highest_revision
  Scenario: All that is wrong with a table is found at once
    Given a route table with an unknown service, a duplicate prefix, no weight, no timeout and a shared key
    Then the table has 5 findings

  @promise.highest_revision
  Scenario Outline: The highest revision wins and nothing goes back
    Given a control state machine without a route table
    When the route tables with revisions <revisions> are submitted
    Then the table in force has revision <current>
    And the source returned is that of revision <current>

    Examples:
      | revisions | current |
      | 1, 2, 3   | 3       |
      | 3, 2, 1   | 3       |
      | 2, 2      | 2       |
      | 5, 9, 7   | 9       |

  Scenario: Another content under the revision held changes nothing
    Given a control state machine without a route table
    When a table of revision 4 and then a different one of revision 4 are submitted
    Then the first of the two is in force and its source is returned

  Scenario: An invalid table is refused and changes nothing
    Given a control state machine without a route table
    When the route tables with revisions 1 are submitted
    And an invalid table of revision 2 is submitted
    Then the command was refused
    And the table in force has revision 1

  Scenario: Named weights never go back
    Given a control state machine without a route table
    When the weights versions 1, 3, 2 of a model are announced
    Then the weights version in force is 3

  Scenario: A snapshot holds tables, weights, targets and the holder of orders
    Given a control state machine without a route table
    When the route tables with revisions 1, 2 are submitted
    And the weights versions 1, 2 of a model are announced
    And a direct target is added
    And "a" and then "b" take over direct orders
    Then a state machine restored from its snapshot is equal
    And the second holder of direct orders has a higher fencing number

  @promise.changes_as_changes
  Scenario Outline: A changed table is told by what it changes
    Given a control state machine with a table of 50 routes and 20 teams
    When a table <changed> is submitted
    Then the change sent is smaller than a tenth of the table
    And a peer that applies it has the table in force

    Examples:
      | changed                         |
      | with one route more             |
      | without one route               |
      | with another timeout on a route |
      | without one team                |
      | with another key of a team      |
      | with another service            |
      | with other limits               |

  Scenario: A table in which a name is used twice is told whole
    Given a control state machine with a table of 50 routes and 20 teams
    When a table with two teams of one name is submitted
    Then the whole table is sent
