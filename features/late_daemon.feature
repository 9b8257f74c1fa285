Feature: A daemon that is late itself
  On scarce processors, or after a pause, the event loop of a daemon runs its
  timers before it reads what has arrived meanwhile. Its own lateness is no
  evidence against its instance, against a peer or against a caller.

  Background:
    Given a mesh fleet of 2 VMs with 2 slots each

  # Guards against an instance that is taken for down by a daemon that was busy
  # while the connection opened.
  Scenario: An instance that accepts connections isn't down
    When VM 0 runs a request and is then busy for 1200 ms
    Then the instance has answered it
    And the gate of VM 0 regards its instance as "ready"
