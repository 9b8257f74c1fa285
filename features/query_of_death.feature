Feature: Query of death
  A request that ends every instance that runs it is refused everywhere from the
  third instance on. What ran beside it, and what was lost in other ways, isn't.

  # Guards against a request that ends one instance after the other, because each
  # gate sees only the loss of its own.
  Scenario Outline: The fleet refuses <kind> request that ended three instances
    Given a mesh fleet of 6 VMs with 2 slots each
    And the backend servers end when they get a request to "<path>deadly"
    When a caller sends a request to "<path>deadly" 8 times, one after the other
    Then 3 backend servers have ended
    And the last 4 were refused with 503 as not run, within 100 ms
    And requests to "/once/others" are served on every VM

    Examples:
      | kind             | path         |
      | a non-idempotent | /once/       |
      | an idempotent    | /repeatable/ |

  Scenario: All daemons refuse what ended instances under different daemons
    Given 3 daemons that share evidence
    When "deadly" ends an instance under daemon 0, 1 and 2
    Then "deadly" is refused on all daemons
    And "other" is allowed on all daemons

  # Guards against the refusal of requests that only ran beside a deadly one.
  Scenario: What ran beside a deadly request is allowed
    Given 3 daemons that share evidence
    When "deadly" ends an instance under daemon 0, 1 and 2, beside different requests
    Then what ran beside it is allowed on all daemons

  # Guards against the refusal of a service's usual request after a mass kill.
  Scenario: A request that also ends well is allowed after a mass kill
    Given 3 daemons that share evidence
    And "usual" was served under daemon 2 within the last second
    When 12 instances that run "usual" are killed under daemon 0 and 1
    Then "usual" is allowed on all daemons

  Scenario: A good response clears a request
    Given 3 daemons that share evidence
    When "flaky" ends an instance under daemon 0 and 1
    And "flaky" is served under daemon 2
    And "flaky" ends an instance under daemon 0, 15 s later
    Then "flaky" is allowed on all daemons

  Scenario Outline: A single trial after a pause that grows
    Given 3 daemons that share evidence
    When "deadly" ends an instance <ends> times
    Then "deadly" is refused on all daemons after <refused> s
    And after <allowed> s one request is let in, and no other on any daemon

    Examples:
      | ends | refused | allowed |
      | 3    | 29      | 31      |
      | 4    | 59      | 61      |
      | 5    | 119     | 121     |

  Scenario: A daemon that joins learns what the others know
    Given 3 daemons that share evidence
    When "deadly" ends an instance 3 times
    And a daemon joins
    Then "deadly" is refused on all daemons

  Scenario: Evidence from both sides of a partition adds up
    Given 2 daemons that share no evidence
    When "deadly" ends an instance under daemon 0 and 1
    And "deadly" ends an instance under daemon 1
    Then "deadly" is allowed on all daemons
    When the daemons exchange what they know
    Then "deadly" is refused on all daemons

  Scenario: A flood of different requests takes bounded memory
    Given 1 daemon that shares evidence
    When 5000 different requests each end an instance
    Then the daemon remembers at most 512 of them

  Scenario: Requests differ by customer, path and body, not by their id
    Then requests with the same content have the same fingerprint
    And requests that differ in the customer, the path, the query, the method or the body don't

  Scenario: Large bodies that differ at their beginning, end or length differ
    Then bodies of 1000000 bytes that differ in the first or last byte have different fingerprints
    And a body of 1000001 bytes has another one

  Scenario Outline: Evidence with <fault> is refused with one log line
    Given a daemon that gets evidence with <fault> from a peer
    Then it refuses the evidence with one log line
    And it keeps the connection

    Examples:
      | fault                |
      | a short fingerprint  |
      | a negative age       |
      | an age out of bounds |
      | too many ends        |
      | too many records     |
