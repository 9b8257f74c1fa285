Feature: The whole path
  A request passes from a caller through router and gate to a backend server,
  or is refused with a correct statement of whether it ran.

  Background:
    Given a store and 3 daemons in 3 failure domains
    And an instance "ledger-1" of "ledger-read" behind daemon "d1"
    And the sheet:
      """
      kind;id;name;ratePerSecond;burst;floor;path;service
      customer;can-tho;Công ty Cần Thơ;50,0;20;;;
      customer;da-lat;Công ty Đà Lạt;3;3;;;
      service;ledger-read;;;;1;;
      route;ledger;;;;;/ledger;ledger-read
      """
    And a key for "can-tho"
    And a key for "da-lat"
    And the generation of all daemons is in force everywhere

  Scenario: A request with a key is served through any daemon
    Given "can-tho" is served through "d1 d2 d3"
    When "can-tho" requests "/ledger/balances" from daemon "d1"
    Then the answer is 200 from instance "ledger-1"
    When "can-tho" requests "/ledger/balances" from daemon "d3"
    Then the answer is 200 from instance "ledger-1"

  Scenario: Requests without a valid key are refused as not run
    When a caller without a key requests "/ledger/balances" from daemon "d1"
    Then the answer is 401 with ran "no"
    When a caller with key "wrong" requests "/ledger/balances" from daemon "d1"
    Then the answer is 401 with ran "no"
    And instance "ledger-1" ran 0 requests

  Scenario: Requests over the rate are refused with a Retry-After header
    Given "can-tho" is served through "d1 d2 d3"
    When "da-lat" requests "/ledger/balances" from daemon "d1" 20 times at once
    Then some answers are 429 with ran "no" and a Retry-After header
    And instance "ledger-1" ran as many requests of "da-lat" as were answered 200
