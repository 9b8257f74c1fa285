Feature: Requests are rejected early under overload
  A request that would not get a slot in time is refused at once as not run,
  with a Retry-After; accepted requests are served.

  Scenario: More requests than can be served in time
    Given 1 instances of a service with floor 0, each behind its own daemon
    And instances "ledger-1" have the faults "{\"serviceMs\":200}"
    And 12 requests are sent one after the other
    When 60 requests are sent at once, each together with one that needs no slot
    Then each was answered 200, or refused with Retry-After within 150 ms of the one that needs no slot
    And at least 14 of them were answered 200

  # Guards against requests that are queued and then refused, because the wait
  # that was estimated when they were accepted was too short.
  Scenario: Accepted requests are served although the service slows down
    Given 1 instances of a service with floor 0, each behind its own daemon
    And instances "ledger-1" have the faults "{\"serviceMs\":200}"
    And 12 requests are sent one after the other
    And instances "ledger-1" have the faults "{\"serviceMs\":300}"
    When 60 requests are sent at once, each together with one that needs no slot
    Then each was answered 200, or refused with Retry-After within 150 ms of the one that needs no slot
    And at least 14 of them were answered 200

  # Guards against reusing a slot while the backend server still processes a
  # request whose caller has disconnected.
  Scenario: Disconnected callers do not free slots that are still in use
    Given 1 instances of a service with floor 0, each behind its own daemon
    And instances "ledger-1" have the faults "{\"serviceMs\":400}"
    And 6 requests are sent one after the other
    When 3 callers disconnect 100 ms after their requests
    And 3 requests are sent at once, each together with one that needs no slot
    Then each was answered 200
