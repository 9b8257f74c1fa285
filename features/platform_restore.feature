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

  # Guards against a change that is never applied because the store assigned its
  # revision before, so that a watch from a later one doesn't report it.
  Scenario: A change whose revision was assigned before comes into force
    Given the platform's store with version 1
    And a daemon that follows the store and is listed
    And a copy of the store
    And the operators write version 2
    And the operators write version 3
    And version 3 is in force within 1000 ms
    When the store is unavailable for 400 ms and comes back from its copy
    And the operators write version 3
    And the operators write version 4
    And other writers reach the revision of before
    Then version 4 is in force within 2000 ms

  # Guards against a watch that stays open without an answer after the store
  # has been replaced.
  Scenario: A daemon whose watch ends without an answer reads the store again
    Given the platform's store with version 1
    And a daemon that follows the store and is listed
    And a copy of the store
    When the store does not answer for 400 ms and comes back from its copy
    And the operators write version 2
    Then version 2 is in force within 3000 ms

  # Guards against a daemon that renews the lease of another one, which got the
  # same number, and stays out of the list.
  Scenario: Daemons whose leases got the same number are both listed
    Given the platform's store with version 1
    And a copy of the store
    And a daemon "vm-1" that registers
    When the store is unavailable for 400 ms and comes back from its copy
    And a daemon "vm-2" that registers
    Then the daemons "vm-1 vm-2" are listed 4000 ms later

  # Guards against a withdrawal that ends the lease of another daemon, which got
  # the same number.
  Scenario: A daemon that withdraws leaves the lease of another one alone
    Given the platform's store with version 1
    And a copy of the store
    And a daemon "vm-1" that registers
    When the store is unavailable for 400 ms and comes back from its copy
    And a daemon "vm-2" that registers
    And the daemon "vm-1" has called the store again and withdraws
    Then the daemons "vm-2" are listed 0 ms later

  # Guards against an outage that no daemon notices, since the calls of all
  # daemons that started together come at the same moments.
  Scenario: Daemons that started together call the store at different times
    Given the platform's store with version 1
    When 30 daemons register at the same time
    Then at any time within 9000 ms a renewal is at most 1000 ms away

  # Guards against a second lost watch that lasts until its timeout, because the
  # first refresh came when no watch was open.
  Scenario: A refresh outside a watch leaves the next watch abortable
    Given the platform's store with version 1
    And a source of the configuration that follows the store
    When the store is unavailable for 500 ms and the source is refreshed meanwhile
    And the store does not answer for 100 ms and loses its watches
    And the source is refreshed
    And the operators write version 2
    Then version 2 is in force within 1000 ms

  # Guards against a change that no daemon of a fleet has, so that peers can't
  # help either.
  Scenario: A whole fleet follows a store that was restored
    Given the platform's store with version 1
    And a mesh fleet of 4 VMs with 2 slots each
    And all daemons of the fleet follow the store
    And a copy of the store
    And the operators write version 2
    And the operators write version 3
    And version 3 is in force on the whole fleet within 1000 ms
    When the store is unavailable for 400 ms and comes back from its copy
    And the operators write version 3
    And the operators write version 4
    And other writers reach the revision of before
    Then version 4 is in force on the whole fleet within 2000 ms
    And all daemons of the fleet are listed within 4000 ms

  # Guards against a daemon that takes no response any more, or each one as that
  # of a restored store, because of a header field that names no era.
  Scenario Outline: A store whose era is <era> is followed
    Given the platform's store with version 1
    And its responses name the era <era>
    And a daemon that follows the store and is listed
    When the operators write version 2
    Then version 2 is in force within 1000 ms
    And the log has no restored store

    Examples:
      | era    |
      | "none" |
      | "?"    |
      | ""     |
