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

  # Guards against suspecting an instance whose response the daemon reads late.
  Scenario: An instance that responds in time isn't suspect
    When VM 0 runs a request and is then busy for 1200 ms
    Then the instance has answered it
    And the gate of VM 0 never suspected its instance

  # Guards against reservations that expire while the request that uses them
  # waits to be read.
  Scenario: A gate that was late runs a request that came within its reservation
    When VM 0 sends a request with 8000 ms left to the gate of VM 1, which is then busy for 700 ms
    Then the instance has answered it

  # Guards against running what no caller waits for any more.
  Scenario: A gate that was late doesn't run a request whose caller has given up
    When VM 0 sends a request with 600 ms left to the gate of VM 1, which is then busy for 700 ms
    Then it hasn't run, for the reason "reservation expired"

  # Guards against instances that work on for callers that have given up.
  Scenario: A gate that was late passes on only the time that is left
    When VM 0 sends a request with 2000 ms left to the gate of VM 1, which is then busy for 700 ms
    Then the instance was given at most 1300 ms

  # Guards against repeats of requests whose response a late router hasn't read.
  Scenario: A late router repeats no request that has been answered
    When a caller sends a request to "/open/" at VM 0, which is busy for 1200 ms once an instance has answered
    Then the response has status 200
    And no request was repeated

  Scenario: A reservation that isn't used is released
    When VM 0 reserves a slot at the gate of VM 1 and doesn't use it
    Then the gate of VM 1 has no request within 1000 ms

  # Guards against closing a connection on which a request has arrived.
  Scenario: A request on an idle connection is answered although the daemon was late
    Given callers' connections may be idle for 1000 ms
    When a caller sends a request on a connection that was idle for 700 ms and VM 0 is then busy for 1800 ms
    Then both of its requests are answered with 200

  Scenario: A connection that stays idle is closed
    Given callers' connections may be idle for 1000 ms
    When a caller leaves a connection to VM 0 idle after a request
    Then it is closed 900 to 3000 ms later

  # Guards against instances that stay unknown until their next heartbeat because
  # the daemon that restarted was late.
  Scenario: A probe finds an instance although the daemon was late
    When a daemon probes an instance and is then busy for 1200 ms
    Then it has found the instance

  # Guards against missing the evidence of a request that ends instances.
  Scenario: A late daemon notices that an instance has ended
    Given the backend server of VM 0 ends when it gets the request
    When VM 0 runs a request while each turn of its event loop takes 300 ms
    Then the instance has ended within it
