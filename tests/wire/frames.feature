Feature: Malformed, expired and stray frames

  Scenario Outline: A peer that sends <kind> is counted and disturbs no other peer
    Given a wire server
    And a connected wire client
    When a raw wire peer sends <kind>
    Then the wire server counts at least 1 "<counter>"
    And the wire client can make a call

    Examples:
      | kind                       | counter           |
      | random bytes               | wire.malformed    |
      | a frame of version 99      | wire.malformed    |
      | a frame of three parts     | wire.malformed    |
      | a frame over the limit     | wire.malformed    |
      | a frame far over the limit | wire.disconnected |
      | a call before its Hello    | wire.stray_frame  |

  Scenario: Bytes that are not ZeroMQ disturb no other peer
    Given a wire server
    And a connected wire client
    When a raw TCP peer of the wire sends random bytes
    Then the wire server counts at least 1 "wire.refused_handshake"
    And the wire client can make a call

  Scenario: Any bytes decode to a frame or raise a malformed-frame error
    Then decoding any bytes as a wire frame gives a frame or a malformed frame

  Scenario: A stream of damaged frames disturbs no other peer
    Given a wire server
    And a connected wire client
    When a raw wire peer floods with 200 damaged copies of real frames
    Then the wire client can make a call

  Scenario: An expired frame is not handled
    Given a wire server
    When a raw wire peer opens a session and sends an expired call
    Then the raw wire peer gets the failure "expired"
    And the wire server handled no frame
    And the wire server counts at least 1 "refusal.expired"

  Scenario: A frame for an earlier incarnation is not handled
    Given a wire server
    When a raw wire peer opens a session and calls another incarnation
    Then the raw wire peer gets HelloRequired
    And the wire server handled no frame
    And the wire server counts at least 1 "wire.stray_frame"

  Scenario: Frames that come in bursts are all read
    Given a wire server
    And a connected wire client
    When the wire client makes 300 calls at once, 10 times
    Then every wire call was answered

  Scenario Outline: An unexpected error over one frame does not stop a process
    Given a wire server
    And a connected wire client
    When the wire <end> fails unexpectedly over the next frame
    Then the wire client can make a call

    Examples:
      | end    |
      | server |
      | client |
