Feature: Callers outside the limits at a fleet
  The daemons run as on the platform. The instance of the service is on the VM of
  one of them, the gate; the callers are at the others, the routers. All bodies
  and responses are of legal size.

  # Guards against bodies over the size of a frame that no other VM ever gets.
  Scenario Outline: A single upload of <bytes> bytes at another VM is served
    Given a gate and 1 router with 250 MB of memory each
    When 1 callers upload <bytes> bytes each at the same time
    Then all of them are served
    And each process runs and took at most 250 MB

    Examples:
      | bytes    |
      | 15000000 |
      | 17000000 |
      | 60000000 |

  # Guards against copies of bodies for frames between daemons, which aren't under
  # the memory budget.
  Scenario Outline: <routers> routers survive <count> <kind> each
    Given a gate and <routers> routers with <memory> MB of memory each
    When <count> callers at each router send <kind>
    And each of them was answered or its connection closed
    Then each process runs and took at most <memory> MB
    And an ordinary request at each daemon is answered

    Examples:
      | routers | count | memory | kind                              |
      | 3       | 60    | 150    | complete bodies of 1000000 bytes  |
      | 2       | 300   | 250    | complete bodies of 1000000 bytes  |
      | 6       | 100   | 250    | complete bodies of 2000000 bytes  |
      | 3       | 6     | 250    | complete bodies of 15000000 bytes |
      | 8       | 12    | 250    | complete bodies of 15000000 bytes |

  # Guards against responses between the gate and the caller's daemon that aren't
  # under the memory budget.
  Scenario Outline: <routers> routers survive <count> callers each that read nothing
    Given a gate and <routers> routers with <memory> MB of memory each
    When <count> callers at each router send requests for large responses that they don't read
    Then each process runs and took at most <memory> MB
    And an ordinary request at each daemon is answered

    Examples:
      | routers | count | memory |
      | 2       | 20    | 150    |
      | 6       | 60    | 250    |
      | 1       | 300   | 250    |

  # Guards against memory that the allocator keeps after a crowd, so that the
  # process has no room for a large body any more.
  Scenario: A single upload is served after a crowd
    Given a gate and 2 routers with 250 MB of memory each
    When 300 callers at each router send complete bodies of 1000000 bytes
    And each of them was answered or its connection closed
    And they close their connections
    And 1 callers upload 60000000 bytes each at the same time
    Then all of them are served
    And each process runs and took at most 250 MB
