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
