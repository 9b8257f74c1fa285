Feature: Configuration
  An accepted configuration comes into force on every daemon within 12 s and
  never reverts. When operators change a record concurrently, exactly one
  change is accepted and the others are rejected.

  Background:
    Given a store and 3 of 4 daemons in 3 failure domains behind links
    And the sheet:
      """
      kind;id;name;ratePerSecond;burst;floor;path;service
      customer;can-tho;Công ty Cần Thơ;50;20;;;
      service;ledger-read;;;;1;;
      route;ledger;;;;;/ledger;ledger-read
      """
    And every daemon has fresh keys at revision 1
    And the revisions in force are watched

  Scenario: Of concurrent changes to one record exactly one is accepted
    When 6 operators change the rate of "can-tho" at once through all daemons
    Then exactly one of them is accepted and the others get status 412
    And the winner's rate is in force everywhere within 12 s
    And no revision in force decreased

  Scenario: A change is made once even if answers of the store are lost
    Given the store loses its next 3 answers to writes
    When an operator sets "ratePerSecond=70" of "can-tho" through daemon "d2"
    Then the command reports that revision 2 is in force everywhere
    And the audit lists the change once
    And revision 2 is in force everywhere within 12 s

  Scenario: An operator can retry a change whose outcome is unknown
    Given the store becomes unavailable once it has stored the next head
    When an operator sends change "change-0001" to "can-tho" through daemon "d1"
    Then the answer is 503 and the change is reported as "unknown"
    Given the store is back
    When an operator sends change "change-0001" to "can-tho" through daemon "d2"
    Then the change is accepted as a repeated request
    And revision 2 is in force everywhere within 12 s
    And the audit lists the change once

  # Guards the tests: a port that the system assigns may be taken meanwhile.
  Scenario: A daemon that is down keeps its ports
    Given the ports of daemon "d1"
    Then the system assigns none of them to another socket

  Scenario: A store that serves stale reads reverts nothing
    Given the store serves stale reads from now on
    When an operator sets "ratePerSecond=70" of "can-tho" through daemon "d1"
    Then revision 2 is in force everywhere within 12 s
    When an operator sets "ratePerSecond=80" of "can-tho" through daemon "d3"
    Then revision 3 is in force everywhere within 12 s
    When daemon "d2" is killed and started again
    Then revision 3 is in force everywhere within 12 s
    And no revision in force decreased

  Scenario: Without the rule that only newer revisions load, a daemon reverts
    Given a daemon "d4" of the mutant "revisions_may_fall"
    And the store serves stale reads from now on
    When an operator sets "ratePerSecond=70" of "can-tho" through daemon "d1"
    Then the revision in force on daemon "d4" decreases within 20 s

  Scenario: A daemon that restarts next to a stale peer does not revert
    Given daemon "d3" is cut off from everything
    When an operator sets "ratePerSecond=70" of "can-tho" through daemon "d1"
    Then revision 2 is in force on daemon "d2" within 12 s
    Given daemon "d2" and "store" are cut off from each other
    And daemon "d2" and "d1" are cut off from each other
    And daemon "d2" and "d3" are connected again
    When daemon "d2" is killed and started again
    And 5 s pass
    And daemon "d2" and "d1" are connected again
    Then revision 2 is in force on daemon "d2" within 12 s
    And no revision in force decreased

  Scenario: A daemon that starts during a store outage loads from its peers
    Given the store is away
    When a daemon "d4" is started in failure domain "domain-1"
    Then revision 1 is in force on daemon "d4" within 12 s

  Scenario: A change reaches a daemon that has no link to the store or the writer
    Given daemon "d3" and "store" are cut off from each other
    And daemon "d3" and "d1" are cut off from each other
    When an operator sets "ratePerSecond=70" of "can-tho" through daemon "d1"
    Then revision 2 is in force everywhere within 12 s
    And no revision in force decreased
