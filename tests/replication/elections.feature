Feature: At most one member leads, and only while it may

  Background:
    Given a group of members a, b, c

  Scenario: A group is created once and takes commands
    When the command "one" is proposed
    Then every member applies "one"
    And no two members ever led the same term or held a lease together

  Scenario: Members that stand at the same moment do not both win
    When all followers are asked to stand for election 5 times
    And the command "one" is proposed
    Then every member applies "one"
    And no two members ever led the same term or held a lease together

  Scenario: A leader that is cut off steps down before another is elected
    Given 20 commands were proposed
    When the leader is cut off while it takes 3 commands
    And another member leads
    Then the member cut off leads no more and refuses reads
    And the outcome of the 3 commands is unknown
    When 5 commands are proposed to the new leader
    And all links work again
    Then all members have the same log and the 25 commands proposed
    And no two members ever led the same term or held a lease together

  Scenario: A leader that was frozen refuses reads when it wakes
    Given 3 commands were proposed
    When the leader was frozen for 5000 ms
    Then its lease has run out at once
    And its next read is refused
    And its next proposal is refused

  Scenario: A read that waits does not survive a freeze
    Given 3 commands were proposed
    When the leader is frozen for 5000 ms while a read waits
    Then the read that waited is refused

  Scenario: A member that comes back does not disturb the leader
    Given 3 commands were proposed
    When a follower is cut off until it has stood 4 times
    And all links work again
    And the command "one" is proposed
    Then every member applies "one"
    And the leader and its term are the same as before

  Scenario: A member that restarted refuses its vote while a lease may run
    Given 3 commands were proposed
    When a follower is restarted
    Then it refuses its vote to a candidate with a newer term

  Scenario: Leadership is handed over without losing a command
    Given 20 commands were proposed
    When leadership is transferred
    And the command "one" is proposed
    Then another member leads than before
    And all members have the same log and the 21 commands proposed
    And no two members ever led the same term or held a lease together

  Scenario: A vote given is remembered after a restart
    Given a follower has voted for a candidate in a newer term
    When that follower is restarted and its leader's lease has passed
    Then it refuses its vote to another candidate in that term
