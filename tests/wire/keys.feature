Feature: Keys of the inner protocol

  Scenario: A peer with a wrong key is refused while one with a known key works
    Given wire keys for "server" and "client"
    And a wire server with keys
    When a wire client with a key of its own making connects
    And a wire client with a known key makes a call
    Then the wire call is done
    And the wire server counts at least 1 "wire.refused_key"
    And the wire client with a key of its own making is never served

  Scenario: A peer without keys is refused while one with a known key works
    Given wire keys for "server" and "client"
    And a wire server with keys
    When a wire client without keys connects
    And a wire client with a known key makes a call
    Then the wire call is done
    And the wire server counts at least 1 "wire.refused_handshake"

  Scenario: A client speaks to no server that holds another key
    Given wire keys for "server" and "client"
    And a wire server with keys that the client does not know
    When a wire client with a known key makes a call
    Then the wire call was not sent

  Scenario: Making keys keeps the secret to its owner and never overwrites
    Given wire keys for "server" and "client"
    Then the wire key files can be read by their owner only
    And making wire keys for "client" again is refused

  Scenario: A damaged key file is a finding with its line
    Given wire keys for "server" and "client"
    When the wire key of "client" is cut short
    Then reading the wire keys of "client" finds line 3 at fault
