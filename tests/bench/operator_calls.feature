Feature: What operators of the benches ask of control instances

  # A change that expected an older revision than the last one was refused.
  Scenario: The revision is read from an instance that is not behind
    Given control instances that answer with revision 648, not current, and 649
    When an operator prepares a change
    Then the change expects revision 649
