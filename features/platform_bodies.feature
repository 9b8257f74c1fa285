Feature: Bodies in very small chunks
  What a body takes in memory goes by its size, not by the number of its chunks.

  # Guards against a daemon that runs out of memory because a faulty instance
  # sends one-byte chunks without end, so that the requests of others are lost.
  Scenario: Responses in one-byte chunks without end don't exhaust a daemon's memory
    Given the platform's store with version 1
    And the process of a mesh daemon whose instance sends one-byte chunks without end
    When callers send 3 requests at a time
    Then all of them are answered as failed
    And the process took at most 100 MB more than at rest
    When the instance recovers
    Then the next request is served within 3000 ms

  # The same for what callers and instances post to a daemon.
  Scenario: A request body in one-byte chunks takes little more memory than its size
    When a body of 400000 bytes is read in one-byte chunks
    Then it is complete
    And it took at most 4000000 bytes of memory
