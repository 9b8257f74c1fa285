Feature: Frames between daemons
  Traffic between failure domains is expensive, so frames carry the values of
  their fields without the names.

  Scenario Outline: A frame that belongs to a request carries no field names
    When a "<frame>" frame is encoded
    Then the bytes contain none of its field names
    And decoding the bytes gives the same frame

    Examples:
      | frame          |
      | reserve        |
      | withdraw       |
      | run            |
      | share          |
      | granted        |
      | repeat ask     |
      | part           |
      | payment        |
      | repeat granted |
      | reserved       |
      | declined       |
      | answered       |
      | unknown        |
      | rejected       |

  Scenario: A gate of which only the load has changed sends only the load
    When a load frame is encoded
    Then the frame takes at most 24 bytes
    And decoding the bytes gives the same frame

  Scenario: The wait for a turn is sent while the instance names a limit
    When a load frame with a wait for a turn of 250 ms is encoded
    Then decoding the bytes gives the same frame

  Scenario Outline: The full status is sent when <field> changes
    When the <field> of a gate changes
    Then sending its load alone is not enough

    Examples:
      | field     |
      | instance  |
      | state     |
      | slots     |
      | version   |
      | stopping  |

  Scenario: Bytes that are not a frame are rejected
    When bytes that are not a frame are decoded
    Then decoding fails with "frameInvalid"

  # Guards against a hello that ends the daemon which receives it.
  Scenario Outline: A hello with <fault> is refused
    Given a mesh fleet of 2 VMs with 2 slots each
    When a peer says hello with <fault>
    Then its connection is closed, and the log tells why
    And the fleet still has 2 VMs

    Examples:
      | fault               |
      | a port out of range |
      | a word as address   |
      | no address          |
      | no VM               |
