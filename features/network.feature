Feature: Network faults between daemons
  Daemons reach each other and the store through links that a test can cut.

  Scenario: Requests are served while two daemons are blocked in one direction
    Given a store and 3 daemons in 3 failure domains behind links
    And an instance "ledger-1" of "ledger-read" behind daemon "d1"
    And an instance "ledger-2" of "ledger-read" behind daemon "d2"
    And the sheet:
      """
      kind;id;name;ratePerSecond;burst;floor;path;service
      customer;can-tho;Công ty Cần Thơ;50,0;20;;;
      service;ledger-read;;;;1;;
      route;ledger;;;;;/ledger;ledger-read
      """
    And a key for "can-tho"
    And "can-tho" is served through "d1 d2 d3"
    When traffic from "d1" to "d3" is blocked
    And "can-tho" requests "/ledger/balances" from daemon "d1"
    Then the answer is 200 from instance "ledger-1"
    When "d1" and "d3" are connected again
    And "can-tho" requests "/ledger/balances" from daemon "d2"
    Then the answer is 200 from instance "ledger-2"

  Rule: Requests soon avoid a daemon that was killed

    Background:
      Given a store and 3 daemons in 3 failure domains behind links
      And an instance "ledger-1" of "ledger-read" with 1 slots and 200 ms behind "d1"
      And an instance "ledger-2" of "ledger-read" with 20 slots and 20 ms behind "d2"
      And an instance "ledger-3" of "ledger-read" with 20 slots and 20 ms behind "d3"
      And the sheet:
        """
        kind;id;name;ratePerSecond;burst;floor;path;service;idempotent
        customer;can-tho;Công ty Cần Thơ;4000;4000;;;;
        service;ledger-read;;;;1;;;
        route;ledger;;;;;/ledger;ledger-read;
        route;once;;;;;/once;ledger-read;no
        """
      And a key for "can-tho"
      And the generation of all daemons is in force everywhere
      And "can-tho" is served through "d1 d2 d3"

    # Guards against routing requests to a gate whose connection is lost until
    # membership has declared its daemon dead.
    Scenario: No idempotent request is refused
      When "can-tho" sends 40 requests a second through "d1"
      And 2 s pass
      And daemon "d3" is killed
      And 8 s pass
      And all load ends
      Then at most 0 % of the requests of "can-tho" were refused

    # Guards against probing a gate whose connection is lost with requests that
    # must not be repeated.
    Scenario: After one second no further non-idempotent request is lost
      When "can-tho" sends 40 requests a second for "/once/balances" through "d1"
      And 2 s pass
      And daemon "d3" is killed
      And 1 s pass
      And the lost requests of "can-tho" are counted
      And 8 s pass
      And all load ends
      Then no further request of "can-tho" was lost
