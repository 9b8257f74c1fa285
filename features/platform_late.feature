Feature: A daemon that is late
  Processors may be scarce, most of all when all daemons start together. A daemon
  then reads responses late, although the store sent them in time.

  # Guards against calls that are given up or repeated although their responses
  # are there, which takes more of the processor time that is scarce.
  Scenario Outline: Calls to the store are not given up on a late event loop
    Given the platform's store with version 1 in a process of its own
    When each turn of the event loop takes <turnMs> ms
    And a daemon starts to follow the store
    Then version 1 is in force and the daemon has listed itself within 20000 ms
    And it read the configuration once
    And it gave up no call and took no connection for silent

    Examples:
      | turnMs |
      | 300    |
      | 700    |
      | 1200   |

  # Guards against a pause of the daemon that is taken for a silent store.
  Scenario: Calls that a pause interrupts are not given up
    Given the platform's store with version 1 in a process of its own
    When a daemon starts to follow the store
    Then version 1 is in force and the daemon has listed itself within 20000 ms
    When the daemon is paused for 2000 ms in each of its next 4 calls
    Then it gave up no call and took no connection for silent
