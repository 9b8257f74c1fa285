Feature: A start on scarce processors
  A daemon that has just started gets its configuration, then the list of its
  peers, then their instances. Requests that arrive meanwhile wait for a moment.

  # Guards against refusing requests that a daemon can serve as soon as it has
  # read what it started to fetch.
  Scenario: A request that comes before the configuration is served although the start was late
    Given a mesh fleet of 2 VMs that is busy for 1200 ms as it starts
    When a caller sends a request to VM 0 and the configuration comes 300 ms later
    Then the response has status 200
