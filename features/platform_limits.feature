Feature: What callers outside the limits get
  The limit of the configuration is 1000 bytes.

  # Guards against a body that is received though its length tells that it will
  # be refused, and against a refusal that its caller can't read.
  Scenario Outline: A body of <announced> bytes of which <sent> are sent gets 413
    Given the platform's store with version 1
    And the process of a mesh daemon whose instance takes 10 ms
    When a caller announces <announced> bytes and sends <sent>
    Then it reads the status 413, and the connection is closed

    Examples:
      | announced  | sent   |
      | 1000000000 | 0      |
      | 1000000000 | 100000 |
      | 500000     | 500000 |

  # Guards against a chunked body that is received though it is over the limit.
  Scenario: A chunked body over the limit gets 413
    Given the platform's store with version 1
    And the process of a mesh daemon whose instance takes 10 ms
    When a caller sends 200000 bytes in chunks of 1000
    Then it reads the status 413, and the connection is closed

  # Guards against bodies that stop short and stay open, also if none of them
  # was sent.
  Scenario Outline: A body without progress after <sent> bytes gets 408
    Given the platform's store with version 1
    And the process of a mesh daemon whose instance takes 10 ms
    When a caller announces 500 bytes and sends <sent>
    Then it reads the status 408, and the connection is closed

    Examples:
      | sent |
      | 499  |
      | 0    |

  # Guards against a refused body whose connection stays open for its rest.
  Scenario: The connection of a body that was never sent is closed with the 408
    Given the platform's store with version 1
    And the process of a mesh daemon whose instance takes 10 ms
    When a caller announces 500 bytes and sends 0
    Then it reads the status 408, and "connection: close"

  # Guards against limits that affect callers inside them.
  Scenario: A connection serves requests in pieces, in chunks and one after another
    Given the platform's store with version 1
    And the process of a mesh daemon whose instance takes 10 ms
    When a caller sends bodies in pieces, in one-byte chunks and at once
    Then it gets a success for each on the same connection

  # Guards against requests that are lost or reordered because the daemon parses
  # what it read in portions.
  Scenario: Requests that are sent at once are answered in their order
    Given the platform's store with version 1
    And the process of a mesh daemon whose instance takes 10 ms
    When a caller sends 100 requests at once on one connection
    Then it gets a response to each in their order
