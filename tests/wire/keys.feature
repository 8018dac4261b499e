Feature: CURVE keys of the inner protocol

  Scenario: A peer with an unknown key is refused while one with a known key works
    Given wire keys for "server" and "client"
    And a wire server with keys
    When a wire client with an unknown key connects
    And a wire client with a known key makes a call
    Then the wire call is done
    And the wire server counts at least 1 "wire.refused_key"
    And the wire client with an unknown key never gets a session

  Scenario: A peer without keys is refused while one with a known key works
    Given wire keys for "server" and "client"
    And a wire server with keys
    When a wire client without keys connects
    And a wire client with a known key makes a call
    Then the wire call is done
    And the wire server counts at least 1 "wire.refused_handshake"

  Scenario: A client does not connect to a server with another key
    Given wire keys for "server" and "client"
    And a wire server with keys that the client does not know
    When a wire client with a known key makes a call
    Then the wire call was not sent

  Scenario: Key files are readable only by their owner and never overwritten
    Given wire keys for "server" and "client"
    Then the wire key files can be read by their owner only
    And making wire keys for "client" again is refused

  Scenario: A damaged key file is reported with its line number
    Given wire keys for "server" and "client"
    When the wire key file of "client" is truncated
    Then reading the wire keys of "client" reports line 3 as malformed
