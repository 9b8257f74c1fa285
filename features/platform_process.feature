Feature: The process of a mesh daemon
  The platform starts and stops it by signals.

  # Guards against a stop that is cut short by the next signal, so that requests
  # in flight are lost.
  Scenario: A daemon that gets SIGTERM twice completes its stop
    Given the platform's store with version 1
    And the process of a mesh daemon whose instance takes 1000 ms
    When a caller sends a request, and the process gets SIGTERM twice
    Then the request is served
    And the process ends with exit code 0

  # Guards against a daemon that is ended by a signal during its start, which is
  # to tell it something else.
  Scenario: A daemon that gets SIGHUP while it starts keeps running
    Given the platform's store with version 1
    And the peers address of a mesh daemon is taken
    When its process starts and gets SIGHUP, and the address is free 700 ms later
    Then the process is ready within 5000 ms

  Scenario: A daemon that gets SIGTERM while it starts ends at once
    Given the platform's store with version 1
    And the peers address of a mesh daemon is taken
    When its process starts and gets SIGTERM
    Then the process ends with exit code 0

  # Guards against a daemon that ends at its start because the process before it,
  # or an outgoing connection, still has one of its ports.
  Scenario Outline: A daemon whose <listener> address is taken starts once it is free
    Given the platform's store with version 1
    And the <listener> address of a mesh daemon is taken
    When its process starts, and the address is free 700 ms later
    Then the process is ready within 5000 ms

    Examples:
      | listener      |
      | callers       |
      | readiness     |
      | announcements |
      | peers         |
      | metrics       |
