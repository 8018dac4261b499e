Feature: An empty list of teams closes routes, a missing one opens them

  # The last revocation opened all routes: an empty list was read as none.
  @promise.withdrawn_keys
  Scenario Outline: Whether requests need a key survives <form>
    Given a document whose list of teams is <list>
    When its table is passed on as <form>
    Then requests need a key: <needed>

    Examples:
      | list        | form                          | needed |
      | there       | a record                      | yes    |
      | empty       | a record                      | yes    |
      | missing     | a record                      | no     |
      | empty       | a difference to a missing one | yes    |
      | missing     | a difference to one with keys | no     |
      | empty       | a difference to one with keys | yes    |
      | empty       | a snapshot                    | yes    |
      | missing     | a snapshot                    | no     |
      | empty       | a view at an entry            | yes    |
      | missing     | a view at an entry            | no     |

  # A record that has lost the difference must not let anybody in.
  @promise.withdrawn_keys
  Scenario: A record of an earlier release needs a key
    Given a document whose list of teams is missing
    When its table is passed on as a record of an earlier release
    Then requests need a key: yes

  @promise.withdrawn_keys
  Scenario Outline: With a list of teams that is <list>, a key <key> gets <status>
    Given a direct target that answers
    And an entry whose list of teams is <list>
    When a request of kind "<kind>" comes with the key <key>
    Then the answer is <status>

    Examples:
      | list    | kind       | key      | status |
      | empty   | idempotent | withdrawn | 401   |
      | empty   | idempotent | unknown  | 401    |
      | empty   | idempotent | none     | 401    |
      | empty   | public     | none     | 200    |
      | missing | idempotent | unknown  | 200    |
      | missing | idempotent | none     | 200    |

  @promise.withdrawn_keys
  Scenario: With all keys gone, an entry out of touch tells to come back
    Given a direct target that answers
    And an entry whose list of teams is empty
    And control has not answered for too long
    When a request of kind "idempotent" comes with the key withdrawn
    Then the answer is 503
