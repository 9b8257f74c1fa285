Feature: Links between mesh daemons on little processor time
  Each daemon keeps a connection to all others, over which its router uses their
  gates. All daemons may start at the same moment, and processors may be scarce
  then.

  Scenario: Metrics and log tell of attempts to connect that fail
    Given a mesh fleet of 2 VMs with 2 slots each
    When vm-0 is given a peer that nothing listens for
    And 2 attempts to connect to it have failed
    Then the metrics of vm-0 count 1 open link and the failed attempts
    And its log has the first two failures

  # Guards against attempts to connect that fail because this process is late:
  # the response is there, but is read after the timeout.
  Scenario: Daemons connect while their event loop is late
    When 6 mesh daemons start in a process whose event loop takes 1200 ms to turn
    Then each daemon reaches every service within 15 s

  # Guards against a fleet that never connects: attempts that time out cost as
  # much as those that succeed, and all are repeated at once.
  Scenario: Many daemons connect that start at once on one processor
    When 72 mesh daemons start in one process
    Then each daemon reaches every service within 15 s

  # Guards against a process that takes its own pause for the silence of others,
  # and drops all its connections when it goes on.
  Scenario: Daemons keep their connections over a pause of the process
    Given a mesh fleet of 4 VMs with 2 slots each
    When the process is paused for 9 s
    Then no connection between daemons is lost in the next 3 s

  # Guards against a router that takes its own lateness for the silence of a
  # gate, and refuses requests that the gate would have taken.
  Scenario: A late router waits for the reply of a gate
    Given a mesh fleet of 2 VMs, of which only vm-1 has an instance of "pay"
    When a caller sends a request to vm-0 while the event loop takes 200 ms to turn
    Then the response has status 200
    And no gate counted as silent

  # Guards against a delay between attempts that doesn't grow: all daemons would
  # try addresses that refuse, many times a second, while their peers start.
  Scenario: Attempts to connect to an address that refuses become fewer
    Given a mesh fleet of 2 VMs with 2 slots each
    When vm-0 is given a peer that nothing listens for
    Then it makes 3 to 8 attempts to connect to it within 3 s

  # Guards against handshakes that all daemons of a fleet repeat with a daemon that
  # has the address of one that is gone.
  Scenario: Attempts to connect to an address of another daemon become rare
    Given a mesh fleet of 2 VMs with 2 slots each
    When vm-0 is given a peer at the address of vm-1
    Then it makes 3 to 4 attempts to connect to it within 5 s

  # Guards against a peer that is back and waits for the end of a long delay.
  Scenario: A peer that connects is connected to at once
    Given a mesh fleet of 2 VMs with 2 slots each
    And vm-0 knows a peer that has refused 6 attempts to connect
    When that peer starts and connects to vm-0
    Then vm-0 is connected to it within 500 ms

  # Guards against listeners that add up over the attempts of a link.
  Scenario: A handshake leaves nothing behind on the signal of its link
    When 20 handshakes with the same signal take their turn
    Then the signal has no listeners

  # Guards against a peer that counts as present, and whose instance as a second
  # one, because another daemon has taken its address.
  Scenario: A daemon isn't taken for the one that had its address before
    Given a mesh fleet of 2 VMs with 2 slots each
    When vm-0 is given a peer at the address of vm-1
    And 2 attempts to connect to it have failed
    Then vm-0 reaches only vm-1

  # Guards against a daemon that drops all its peers after a long pause, when their
  # entries have left the list as well.
  Scenario: Peers are kept over a pause that is longer than entries last
    Given a mesh fleet of 2 VMs with 2 slots each
    When the process is paused for 16 s
    And vm-0 reads a list with no other daemon
    Then vm-0 reaches only vm-1

  Scenario: A peer that stays silent is connected to anew
    Given a mesh fleet of 2 VMs with 2 slots each
    When vm-0 is given a peer that accepts connections and sends nothing
    Then vm-0 opens a second connection to it within 10 s
