Feature: Overload is refused early
  Work that would wait in vain is refused at once as not run, with the time
  after which coming back helps; work that is taken is served.

  Scenario: More requests than can be served in time
    Given 1 instances of a service with floor 0, each behind its own daemon
    And instances "ledger-1" have the faults "{\"serviceMs\":200}"
    And 12 requests are sent one after the other
    When 60 requests are sent at once, each beside one that needs no slot
    Then each was answered 200, or refused as busy within 150 ms of the other, with a time to come back
    And at least 14 of them were answered 200

  # Guards against a wait in line that ends in a refusal because the estimate
  # at its start was too short.
  Scenario: Work that was taken is served though the service gets slower
    Given 1 instances of a service with floor 0, each behind its own daemon
    And instances "ledger-1" have the faults "{\"serviceMs\":200}"
    And 12 requests are sent one after the other
    And instances "ledger-1" have the faults "{\"serviceMs\":300}"
    When 60 requests are sent at once, each beside one that needs no slot
    Then each was answered 200, or refused as busy within 150 ms of the other, with a time to come back
    And at least 14 of them were answered 200

  # Guards against slots that are given again while the backend server still
  # works on what its caller gave up.
  Scenario: Callers that leave do not free slots that are still in use
    Given 1 instances of a service with floor 0, each behind its own daemon
    And instances "ledger-1" have the faults "{\"serviceMs\":400}"
    And 6 requests are sent one after the other
    When 3 callers leave 100 ms after their requests
    And 3 requests are sent at once, each beside one that needs no slot
    Then each was answered 200
