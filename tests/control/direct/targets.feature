Feature: The list of direct targets

  # Engines whose entry lacked its models ran prompts on weights nobody knew.
  @promise.no_old_weights
  Scenario Outline: An entry of service <service> with the models <models> is <fate>
    When the list has an entry of service "<service>" with the models "<models>"
    Then the entry is <fate>

    Examples:
      | service   | models | fate    |
      | engines   | m      | used    |
      | engines   | m, n   | used    |
      | engines   | none   | skipped |
      | engines   | n      | skipped |
      | unlabeled | n      | used    |
      | unlabeled | none   | skipped |
      | plain     | none   | used    |
      | unknown   | none   | used    |

  Scenario: New targets on the list are added, and missing ones are removed
    Given the direct targets a, b and c are active
    When the list names a, c and d
    Then b is removed and d is added

  Scenario: A list equal to the active targets changes nothing
    Given the direct targets a, b and c are active
    When the list names a, b and c
    Then nothing is changed

  Scenario: A lagging list does not bring back older weights versions
    Given the direct targets a, b and c are active
    And a was updated to weights 3 and is held for an order
    When the list names a with weights 2, b and c
    Then nothing is changed

  # The list named a version too high for a moment, which then stayed for the
  # rest of the run, so that no later weights were loaded.
  Scenario Outline: The list raises no weights version above the named one
    Given the direct targets a, b and c are active
    And weights <named> are the newest named
    When the list names a with weights 9, b and c
    Then nothing is changed

    Examples:
      | named |
      | 0     |
      | 8     |

  Scenario: The list raises a weights version to the named one
    Given the direct targets a, b and c are active
    And weights 9 are the newest named
    When the list names a with weights 9, b and c
    Then a is changed to weights 9

  Scenario: A target that the list names as leaving is changed to leaving
    Given the direct targets a, b and c are active
    When the list names a as leaving, b and c
    Then a is changed to leaving

  @promise.own_target
  Scenario: A restart under the same id is another target
    Given the direct targets a, b and c are active
    When the list names a after a restart, b and c
    Then the old run of a is removed and the new one is added
