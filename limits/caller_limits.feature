Feature: Callers outside the limits
  The daemon runs as on the platform, with little memory and few descriptors. A
  crowd of callers breaks the limits and keeps its connections open.

  # Guards against a process that runs out of memory or descriptors, or that is
  # too busy to answer, because of callers that the operators don't control.
  Scenario Outline: A daemon survives <kind>
    Given a mesh daemon with 150 MB of memory and 200 descriptors
    When <count> callers send <kind>
    Then the process runs and took at most 150 MB and 200 descriptors
    And an ordinary request is answered

    Examples:
      | count | kind                                                      |
      | 300   | bodies that stop one byte short                           |
      | 300   | bodies in pieces that stop one byte short                 |
      | 300   | chunked bodies in large chunks that stop short            |
      | 40    | chunked bodies in one-byte chunks that stop short         |
      | 300   | complete bodies of 1000000 bytes                          |
      | 250   | bodies far over the limit                                 |
      | 250   | announcements of bodies far over the limit                |
      | 250   | header fields without end                                 |
      | 250   | header fields without end to the metrics listener         |
      | 250   | heartbeats that stop one byte short                       |
      | 60    | requests for large responses that they don't read         |

  # Guards against bodies that stay in memory until the next request on their
  # connection.
  Scenario: A daemon keeps no body of callers that stay connected
    Given a mesh daemon with 150 MB of memory and 1000 descriptors
    When 150 callers send complete bodies of 1000000 bytes
    Then the process runs and took at most 150 MB and 1000 descriptors
    And an ordinary request is answered

  # Guards against a stop that a crowd delays until the process is killed.
  Scenario: A daemon with a crowd of unfinished bodies stops by itself
    Given a mesh daemon with 150 MB of memory and 200 descriptors
    When 300 callers send bodies that stop one byte short
    And the process gets SIGTERM
    Then the process has ended by itself and took at most 150 MB and 200 descriptors

  # Guards against defaults that refuse or slow callers inside the limits.
  Scenario Outline: <count> uploads of <bytes> bytes with <memory> MB are served
    Given a mesh daemon with <memory> MB of memory and bodies of up to 67108864 bytes
    When <count> callers upload <bytes> bytes each at the same time
    Then all of them are served
    And the process runs and took at most <memory> MB and 200 descriptors

    Examples:
      | count | bytes    | memory |
      | 40    | 360000   | 250    |
      | 2     | 60000000 | 350    |
      | 1     | 67108864 | 250    |

  # Guards against a chunked body of legal size that never gets its memory,
  # because joining it takes its size once more.
  Scenario: An upload of 67108864 bytes in chunks with 250 MB is served
    Given a mesh daemon with 250 MB of memory and bodies of up to 67108864 bytes
    When a caller uploads 67108864 bytes in chunks
    Then all of them are served
    And the process runs and took at most 250 MB and 200 descriptors

  # Guards against cutting off callers that read, for others that don't.
  Scenario: Slow readers get their responses beside a crowd that doesn't read
    Given a mesh daemon with 150 MB of memory and 200 descriptors
    When 10 callers begin to read medium responses slowly but steadily
    And 60 callers send requests for large responses that they don't read
    Then all slow callers get their whole response
    And the process runs and took at most 150 MB and 200 descriptors
