Feature: Instances that name a rate limit, or say that they leave
  An instance in need names in its responses how many requests per second it
  takes from all callers together. One that leaves says so as well.

  Background:
    Given a mesh fleet of 3 VMs with 2 slots each

  Scenario Outline: The limit of "<limit>" that an instance names is logged and exported
    Given the instance of VM 0 names a limit of "<limit>" per second
    When callers send 9 requests to "/once/", spread over all VMs
    Then the log has the limit <number> of the instance of VM 0
    And VM 0 exports a limit of "<number>" per second

    Examples:
      | limit | number |
      | 2.5   | 2.5    |
      | .5    | 0.5    |
      | 3.0   | 3      |

  Scenario: A limit that is not a number is logged and changes nothing
    Given the instance of VM 0 names a limit of "many" per second
    When callers send 9 requests to "/once/", spread over all VMs
    Then the log has an invalid limit "many"
    And VM 0 exports no limit

  Scenario: That an instance leaves is logged
    Given the instance of VM 0 says that it leaves
    When callers send 9 requests to "/once/", spread over all VMs
    Then the log tells that the instance of VM 0 leaves

  # Guards against an instance that gets far more requests than it named (LIMIT).
  Scenario Outline: An instance gets no more requests than the <limit> per second that it named
    Given the instance of VM 0 names a limit of "<limit>" per second
    When callers send 20 requests per second to "/repeatable/" for 9 s, spread over all VMs
    Then from 3 s after it first named it, VM 0 got at most <most> requests in any 4 s
    And at least 98 in 100 requests were served

    Examples:
      | limit | most |
      | 0     | 5    |
      | 1     | 11   |
      | 2.5   | 20   |

  # Guards against requests that are refused although the limits have room.
  Scenario: Requests wait for their turn when every instance names a limit
    Given the instance of VM 0 names a limit of "4" per second
    And the instance of VM 1 names a limit of "4" per second
    And the instance of VM 2 names a limit of "4" per second
    When callers send 8 requests per second to "/once/" for 6 s, spread over all VMs
    Then from 3 s after it first named it, VM 0 got at most 29 requests in any 4 s
    And at least 95 in 100 requests were served

  # Guards against requests that are held until their deadline though it is known
  # that no instance takes them.
  Scenario: Requests beyond all limits are refused at once, with the time to retry
    Given the instance of VM 0 names a limit of "1" per second
    And the instance of VM 1 names a limit of "1" per second
    And the instance of VM 2 names a limit of "1" per second
    When callers send 30 requests per second to "/once/" for 6 s, spread over all VMs
    Then at least 15 requests were served
    And the others were refused within 600 ms as not run, with a time to retry

  # Guards against a limit that stays in force after the instance has recovered.
  Scenario Outline: A limit of <limit> ends with the first response that names none
    Given the instance of VM 0 names a limit of "<limit>" per second
    And callers have sent 20 requests per second to "/repeatable/" for 3 s, spread over all VMs
    When the instance of VM 0 names no limit
    And callers send 40 requests per second to "/repeatable/" for 4 s, spread over all VMs
    Then VM 0 got at least 10 requests in the last 2 s

    Examples:
      | limit |
      | 0     |
      | 1     |

  # Guards against requests to an instance whose answers told that it leaves
  # (DRAIN).
  Scenario: An instance that says that it leaves gets no new request
    Given the instance of VM 0 says that it leaves
    When callers send 20 requests per second to "/repeatable/" for 4 s, spread over all VMs
    Then VM 0 got no request later than 2000 ms after its first response
    And at least 98 in 100 requests were served

  # Guards against a late heartbeat that brings a leaving instance back, and
  # against a new incarnation that inherits what the last one said.
  Scenario: Only a new incarnation ends what a leaving instance said
    Given the instance of VM 0 says that it leaves
    And callers have sent 20 requests per second to "/repeatable/" for 1 s, spread over all VMs
    When a heartbeat of the same incarnation of VM 0 says that it is ready
    Then VM 0 gets none of the next 30 requests
    When the instance of VM 0 starts again
    Then VM 0 gets some of the next 30 requests

  # Guards against an answer that leaves open whether a request ran, when the last
  # instance leaves while a slot is searched for.
  Scenario: Requests are refused as not run when the last instance leaves
    Given the instance of VM 0 says that it leaves
    And the instance of VM 1 says that it leaves
    And the instance of VM 2 says that it leaves
    When callers send 200 requests per second to "/once/" for 1 s, spread over all VMs
    Then every request was served or refused as not run
