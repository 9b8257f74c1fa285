Feature: The store comes back from an older copy
  The store loses its latest writes and leases, and assigns their numbers again.
  The configuration and the list of daemons recover from that by themselves.

  Scenario: The log tells that the store was restored
    Given the platform's store with version 1
    And a daemon that follows the store and is listed
    And a copy of the store
    When the store is unavailable for 400 ms and comes back from its copy
    Then the log has one restored store within 3500 ms

  # Guards against a daemon that takes an older version from the copy.
  Scenario: The copy's older configuration replaces no newer one
    Given the platform's store with version 1
    And a daemon that follows the store and is listed
    And a copy of the store
    And the operators write version 2
    And version 2 is in force within 1000 ms
    When the store is unavailable for 400 ms and comes back from its copy
    Then version 2 is still in force 2000 ms later
