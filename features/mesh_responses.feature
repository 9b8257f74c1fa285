Feature: Incomplete, invalid and early responses of instances
  A caller gets only complete responses with a valid status. Whatever an
  instance sends, its slot becomes free and the caller gets an answer in time.

  # Guards against statuses that aren't responses and reach a caller.
  Scenario Outline: An instance that <behaviour> is answered with 502 <gate>
    Given a mesh fleet whose only instance of the service is at VM 1
    And every backend server <behaviour>
    When a caller of VM <vm> uploads 10 bytes to "/once/"
    Then the response has status 502
    And the request ran 1 times
    And the response came with the reason "answer-lost"
    And one line tells that the run failed with "<reason>"
    And within 500 ms no slot is held

    Examples:
      | behaviour                             | gate           | vm | reason         |
      | responds with the status 000          | locally        | 1  | status         |
      | responds with the status 000          | through a peer | 0  | status         |
      | responds with the status 099          | locally        | 1  | status         |
      | responds with the status 600          | locally        | 1  | status         |
      | responds with the status 600          | through a peer | 0  | status         |
      | responds with the status 999          | locally        | 1  | status         |
      | responds with the status 1000         | locally        | 1  | Parse Error    |
      | responds with the status "2 0"        | locally        | 1  | Parse Error    |
      | responds with the status 20           | locally        | 1  | Parse Error    |
      | sends a signed 101 without an upgrade | locally        | 1  | status 101     |
      | sends a 101 and closes                | locally        | 1  | status 101     |
      | sends a 101 and closes                | through a peer | 0  | status 101     |
      | sends a 101 and stays open            | locally        | 1  | status 101     |
      | responds after a 101                  | locally        | 1  | status 101     |

  Scenario Outline: An interim response doesn't replace the response when an instance <behaviour>
    Given a mesh fleet whose only instance of the service is at VM 1
    And every backend server <behaviour>
    When a caller of VM <vm> uploads 10 bytes to "/once/"
    Then the response has status 200
    And the response has the body "done"
    And within 500 ms no slot is held

    Examples:
      | behaviour            | vm |
      | responds after a 100 | 1  |
      | responds after a 100 | 0  |
      | responds after a 103 | 1  |
      | responds after a 103 | 0  |

  Scenario: An instance that sends only an interim response counts as hanging
    Given a mesh fleet whose only instance of the service is at VM 1
    And every backend server sends only a 100
    When a caller of VM 1 uploads 10 bytes to "/once/"
    Then the response has status 504
    And within 500 ms no slot is held

  # Guards against slots that are lost for good, and a fleet that refuses all.
  Scenario: An instance is used again after it answered each slot's request with a 101
    Given a mesh fleet whose only instance of the service is at VM 1
    And every backend server sends a 101 and closes
    When 6 callers of VM 1 upload 10 bytes to "/once/" in turn
    And every backend server responds
    And a caller of VM 1 uploads 10 bytes to "/once/"
    Then the response has status 200

  # Guards against part of a response that reaches the caller as the whole. The
  # upload is larger than the buffers of a connection, so that it is still being
  # written when the response ends.
  Scenario Outline: A response to a long upload is incomplete when the instance <behaviour>
    Given a mesh fleet whose only instance of the service is at VM 1
    And every backend server <behaviour>
    When a caller of VM <vm> uploads <bytes> bytes to "/once/"
    Then the response has status 502
    And the request ran 1 times
    And within 500 ms no slot is held

    Examples:
      | behaviour                                        | vm | bytes    |
      | resets the connection within its response        | 1  | 12000000 |
      | resets the connection within its response        | 0  | 12000000 |
      | resets the connection within its response        | 1  | 300000   |
      | resets the connection together with its response | 1  | 12000000 |
      | resets the connection together with its response | 0  | 12000000 |
      | resets the connection together with its response | 1  | 300000   |
      | closes the connection without reading on         | 1  | 12000000 |
      | closes the connection without reading on         | 0  | 12000000 |
      | closes the connection without reading on         | 1  | 300000   |
      | half-closes the connection and resets it         | 1  | 12000000 |
      | half-closes the connection and resets it         | 0  | 12000000 |
      | half-closes the connection and resets it later   | 1  | 12000000 |
      | half-closes the connection and resets it later   | 0  | 12000000 |

  # Such an end can't be told from a reset whose error the upload took.
  Scenario Outline: A response without a length that ends before its upload is incomplete when the instance <behaviour>
    Given a mesh fleet whose only instance of the service is at VM 1
    And every backend server <behaviour>
    When a caller of VM <vm> uploads 12000000 bytes to "/once/"
    Then the response has status 502
    And within 500 ms no slot is held

    Examples:
      | behaviour                                    | vm |
      | half-closes the connection and reads on      | 1  |
      | half-closes the connection and reads on      | 0  |
      | half-closes the connection and reads no more | 1  |

  Scenario Outline: A response without a length that ends after its upload is whole
    Given a mesh fleet whose only instance of the service is at VM 1
    And every backend server half-closes the connection and reads on
    When a caller of VM <vm> uploads 300000 bytes to "/once/"
    Then the response has status 200
    And the response has the body "whole"
    And within 1000 ms no request is running at any backend server

    Examples:
      | vm |
      | 1  |
      | 0  |

  # An instance that reads on later must get the rest or see the end.
  Scenario Outline: A connection ends after an early response to an upload of <bytes> bytes
    Given a mesh fleet whose only instance of the service is at VM 1
    And every backend server responds at once and reads on later
    When a caller of VM <vm> uploads <bytes> bytes to "/once/"
    Then the response has status 200
    And the response has the body "done"
    And within 1000 ms no request is running at any backend server
    And within 500 ms no slot is held

    Examples:
      | vm | bytes    |
      | 1  | 12000000 |
      | 0  | 12000000 |
      | 1  | 300000   |

  # Guards against an upload that ends the connection between two daemons, and
  # with it all requests in flight on it.
  Scenario: An upload that fits into no frame is served by an instance on another VM
    Given a mesh fleet whose only instance of the service is at VM 1
    When a caller of VM 0 uploads 17000000 bytes to "/long/"
    Then the response has status 200
    And the request ran 1 times
    And no connection between daemons was lost
    And within 500 ms no slot is held

  Scenario: An upload that fits into no frame is served by the instance beside the daemon
    Given a mesh fleet whose only instance of the service is at VM 1
    When a caller of VM 1 uploads 17000000 bytes to "/once/"
    Then the response has status 200
