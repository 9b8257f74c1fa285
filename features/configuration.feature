Feature: Configuration
  An accepted configuration is in force everywhere within 12 s and never
  reverts; of racing operators exactly one wins and the others are told.

  Background:
    Given a store and 3 of 4 daemons in 3 failure domains behind links
    And the sheet:
      """
      kind;id;name;ratePerSecond;burst;floor;path;service
      customer;can-tho;Công ty Cần Thơ;50;20;;;
      service;ledger-read;;;;1;;
      route;ledger;;;;;/ledger;ledger-read
      """
    And every daemon vouches for revision 1
    And the revisions in force are watched

  Scenario: Of operators who race on one record exactly one wins
    When 6 operators change the rate of "can-tho" at once through all daemons
    Then exactly one of them is accepted and the others are told of the race
    And the winner's rate is in force everywhere within 12 s
    And no revision fell

  Scenario: A change whose answers from the store are lost is made once
    Given the store loses its next 3 answers to writes
    When an operator sets "ratePerSecond=70" of "can-tho" through daemon "d2"
    Then the operator is told that it was accepted
    And the audit shows the change once
    And revision 2 is in force everywhere within 12 s

  Scenario: An operator who never gets an answer repeats the change safely
    Given the store goes away as it takes the next head
    When an operator sends change "change-0001" to "can-tho" through daemon "d1"
    Then the answer is 503 and the change is called "unknown"
    Given the store is back
    When an operator sends change "change-0001" to "can-tho" through daemon "d2"
    Then the change is accepted as a repeated one
    And revision 2 is in force everywhere within 12 s
    And the audit shows the change once

  Scenario: A store that serves old reads reverts nothing
    Given the store serves old reads from now on
    When an operator sets "ratePerSecond=70" of "can-tho" through daemon "d1"
    Then revision 2 is in force everywhere within 12 s
    When an operator sets "ratePerSecond=80" of "can-tho" through daemon "d3"
    Then revision 3 is in force everywhere within 12 s
    When daemon "d2" is killed and started again
    Then revision 3 is in force everywhere within 12 s
    And no revision fell

  Scenario: Without the rule that only newer revisions count, one falls
    Given a daemon "d4" of the mutant "revisions_may_fall"
    And the store serves old reads from now on
    When an operator sets "ratePerSecond=70" of "can-tho" through daemon "d1"
    Then the revision of daemon "d4" falls within 20 s

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
    And no revision fell

  Scenario: A daemon that starts while the store is away learns from its peers
    Given the store is away
    When a daemon "d4" is started in failure domain "domain-1"
    Then revision 1 is in force on daemon "d4" within 12 s

  Scenario: A change reaches daemons that hear only of each other
    Given daemon "d3" and "store" are cut off from each other
    And daemon "d3" and "d1" are cut off from each other
    When an operator sets "ratePerSecond=70" of "can-tho" through daemon "d1"
    Then revision 2 is in force everywhere within 12 s
    And no revision fell
