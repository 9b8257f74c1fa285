Feature: Large bodies between daemons
  A body over 512 KB is sent to another VM in parts, once the daemon there has
  the memory for all of it. Large responses return in the same way. Daemons that
  don't know parts get and send whole frames.

  # Guards against parts that are lost, repeated or out of order, and against a
  # queue of parts in front of heartbeats and reservations.
  Scenario: Bodies arrive whole in any order of frames
    Then any accepted bodies arrive whole, with at most 3 parts on the way

  # Guards against parts that are on the way forever after their body was removed.
  Scenario: A connection sends on after bodies were withdrawn
    Then any withdrawn bodies leave the connection free for others

  # Guards against a small body that waits for the end of a large one.
  Scenario: Bodies take turns
    When a body of 100 parts is being sent and one of 4 parts is accepted
    Then the small body is sent within the next 8 parts

  # Guards against a transfer that is given up for the silence of an earlier one.
  Scenario: A transfer after a withdrawn one has its full time
    Given a sender that gives up after 400 ms without an answer
    When a body is withdrawn, and another one follows 300 ms later
    Then the second one is given up 400 ms after its start, not before

  # Guards against bodies that are sent to a daemon without memory for them.
  Scenario: A body without memory isn't accepted
    Given a receiver without free memory
    When a body of 600000 bytes is announced to it
    Then it is given up as "no-memory", and none of it was accepted

  # Guards against an unbounded number of bodies that wait for memory.
  Scenario: Only 16 bodies wait for memory
    Given a receiver without free memory
    When 17 bodies of 600000 bytes are announced to it
    Then the last one is given up at once

  # Guards against memory that stays reserved for a sender that has stopped.
  Scenario Outline: The memory of a body is free once it is <end>
    Given a receiver with free memory
    When a body of 600000 bytes is announced to it
    And its sender is <end> after the first part
    Then it is given up as "<result>", and no memory is held

    Examples:
      | end       | result    |
      | withdrawn | withdrawn |
      | silent    | stalled   |
      | cut off   | withdrawn |

  # Guards against bodies that are changed on their way, in either direction.
  Scenario Outline: A body of <bytes> bytes is the same at an instance on another VM
    Given a mesh fleet whose only instance of the service is at VM 1
    And every backend server returns the body
    When a caller of VM 0 uploads <bytes> random bytes to "/long/"
    Then the response has status 200
    And the response has the body that was sent
    And within 500 ms no slot is held
    And no memory is held for bodies

    Examples:
      | bytes    |
      | 524288   |
      | 524289   |
      | 2000000  |
      | 8000000  |

  # Guards against a request that runs without its whole body, and against slots
  # and memory that are lost with the connection.
  Scenario Outline: A request doesn't run when its router <event>
    Given a mesh fleet whose only instance of the service is at VM 1
    When a router announces a body of 700000 bytes to VM 1 and <event>
    Then the request ran 0 times
    And within 500 ms no slot is held
    And no memory is held for bodies

    Examples:
      | event                        |
      | disconnects after one part   |
      | withdraws it after one part  |
      | sends more than it announced |
      | announces a size of -1 bytes |

  # Guards against responses that stay in the memory of a gate.
  Scenario Outline: The memory of a response is free once its router <event>
    Given a mesh fleet whose only instance of the service is at VM 1
    And every backend server returns the body
    When a router gets a response of 700000 bytes from VM 1 and <event>
    Then no memory is held for bodies
    And within 500 ms no slot is held

    Examples:
      | event                       |
      | disconnects after one part  |
      | withdraws it after one part |
      | never accepts it            |

  # Guards against a refusal that says "unknown" although the gate got only a part
  # of the body.
  Scenario: A request is known not to have run when its gate is lost within the body
    Given a mesh fleet whose only instance of the service is at a gate that disconnects within bodies
    When a caller of VM 0 uploads 700000 bytes to "/once/"
    Then the response has status 503
    And the response came with the reason "not-run"

  # Guards against a fleet that is updated daemon by daemon and loses requests.
  Scenario: A gate that doesn't know parts gets whole frames
    Given a mesh fleet whose only instance of the service is at an older gate
    When a caller of VM 0 uploads 700000 bytes to "/once/"
    Then the response has status 200
    And the older gate got only frames that it knows

  # Guards against a frame that ends the connection to an older gate, and with it
  # all requests in flight on it.
  Scenario: An upload that fits into no frame of an older gate is refused as not run
    Given a mesh fleet whose only instance of the service is at an older gate
    When a caller of VM 0 uploads 17000000 bytes to "/long/"
    Then the response has status 503
    And the response came with the reason "not-run"
    And the older gate got no request
    And no connection between daemons was lost

  # Guards against frames that wait for a slow link outside the memory budget: each
  # is a second copy of its body, and masking makes a third one.
  Scenario: An upload whose frame finds no memory is refused as not run
    Given the daemons have 16 MB of memory for bodies
    And a mesh fleet whose only instance of the service is at an older gate
    When a caller of VM 0 uploads 6000000 bytes to "/once/"
    Then the response has status 503
    And the response came with the reason "not-run"
    And the older gate got no request
    When a caller of VM 0 uploads 3000000 bytes to "/once/"
    Then the response has status 200

  Scenario: A router that doesn't know parts gets whole frames
    Given a mesh fleet whose only instance of the service is at VM 1
    And every backend server returns the body
    When an older router sends a body of 700000 bytes to VM 1
    Then it gets the body back in one frame, and only frames that it knows
