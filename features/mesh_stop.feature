Feature: Planned stop of a mesh daemon
  A stopping daemon answers every request that it has read. It
  starts no request that can't be expected to end before the daemon does.

  Background:
    Given a mesh fleet of 2 VMs with 1 slots each

  # Guards against requests that a stopping daemon takes, passes on and cuts.
  Scenario: A request that could not end before the stop is refused at once
    When the daemon of VM 0 begins a planned stop
    And a caller sends a request to "/long/" at VM 0 with a deadline of 8000 ms
    Then the response has status 503
    And the response has a Retry-After time
    And the response came with the reason "stopping"
    And the request ran 0 times

  Scenario: A request that waits for a slot is refused when it could not end before the stop
    Given every backend server hangs
    When a caller has sent 3 requests to "/long/" at VM 0 with a deadline of 8000 ms
    And the daemon of VM 0 begins a planned stop
    And the stops have ended and all requests with them
    Then 1 was answered with 503, of which 0 ran
    And 2 were answered with 504, of which 2 ran

  Scenario: A request in flight is awaited
    Given every backend server responds slowly
    When a caller has sent 1 request to "/long/" at VM 0 with a deadline of 8000 ms
    And the daemon of VM 0 begins a planned stop
    And the stops have ended and all requests with them
    Then 1 was answered with 200, of which 1 ran

  Scenario: A call of an instance through its stopping daemon is served
    When the daemon of VM 0 begins a planned stop
    And the instance of VM 0 calls "/open/" through its daemon
    Then the response has status 200

  Scenario: Requests are answered when two daemons stop at the same time
    Given every backend server hangs
    When a caller has sent 2 requests to "/long/" at VM 0 with a deadline of 8000 ms
    And a caller has sent 2 requests to "/long/" at VM 1 with a deadline of 8000 ms
    And the daemons of VMs 0,1 begin a planned stop
    And the stops have ended and all requests with them
    Then 2 were answered with 503, of which 0 ran
    And 2 were answered with 504, of which 2 ran

  # Guards against requests that may run only once, are passed on late in a stop
  # because their route is usually fast, and are cut off while they run.
  Scenario: A request that may run once and may last longer than the stop isn't passed on
    Given callers send 20 requests to "/once/", spread over all VMs
    And every backend server responds slowly
    And a caller has opened a connection to VM 0
    When the daemon of VM 0 begins a planned stop
    And 2100 ms pass
    And the caller sends a request to "/once/" on its connection
    Then it is answered with 503 and has run 0 times

  Scenario: A request that may run once is served if its deadline is before the end of the stop
    Given callers send 20 requests to "/once/", spread over all VMs
    And a caller has opened a connection to VM 0
    When the daemon of VM 0 begins a planned stop
    And 200 ms pass
    And the caller sends a request to "/once/" on its connection
    Then it is answered with 200 and has run 1 times

  # Guards against a daemon that refuses from the beginning of a stop what callers
  # still send to it, although it would end long before the stop does.
  Scenario: A request early in a stop is served although its deadline is after the end of the stop
    Given callers send 20 requests to "/long/", spread over all VMs
    And a caller has opened a connection to VM 0
    When the daemon of VM 0 begins a planned stop
    And 200 ms pass
    And the caller sends a request to "/long/" on its connection
    Then it is answered with 200 and has run 1 times

  # Guards against a slot that was reserved before the stop and starts a run
  # that nobody awaits.
  Scenario: A reservation made before the stop runs nothing after it began
    Given a gate whose instance with 1 slot hangs
    When a router reserves a slot, the gate stops admitting, and the router runs a request
    Then the request was not run

  # As above, after the listener has closed, while a request in flight keeps the
  # daemon running.
  Scenario: A request on an open connection isn't passed on at the end of a stop
    Given one backend server hangs
    And a caller has opened a connection to VM 1
    When a caller has sent 1 request to "/long/" at VM 1 with a deadline of 8000 ms
    And callers send 20 requests to "/once/", spread over all VMs
    And every backend server responds slowly
    And the daemon of VM 1 begins a planned stop
    And 2400 ms pass
    And the caller sends a request to "/once/" on its connection
    Then it is answered with 503 and has run 0 times

  # Guards against the refusal of a waiting request by a bound that was taken when
  # it began to wait: its deadline draws nearer, and counts only late in the stop.
  Scenario Outline: A request that waits for a slot <case>
    Given a planned stop that takes 3000 ms, by a fake clock
    When a request that may run once waits from <from> ms with its deadline at <deadline> ms
    Then it is refused as too late <when>

    Examples:
      | case                                            | from | deadline | when       |
      | late in a stop is served until its deadline     | 1600 | 2800     | never      |
      | early in a stop is served until its deadline    | 0    | 2800     | never      |
      | is refused late if its deadline is past the end | 0    | 5000     | at 1500 ms |
