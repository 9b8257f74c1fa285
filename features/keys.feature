Feature: Keys
  A request runs only for the customer whose key it carries, no backend server
  receives the key, and a withdrawn key stops working within seconds.

  Background:
    Given a store and 3 of 4 daemons in 3 failure domains behind links
    And the sheet:
      """
      kind;id;name;ratePerSecond;burst;path;service;access;customers
      customer;can-tho;Công ty Cần Thơ;500;500;;;;
      customer;da-lat;Công ty Đà Lạt;500;500;;;;
      service;ledger-read;;;;;;;
      route;ledger;;;;/ledger;ledger-read;;
      route;sweeps;;;;/sweeps;ledger-read;;da-lat
      route;rates;;;;/rates;ledger-read;open;
      """
    And a key for "can-tho"
    And an instance "ledger-1" of "ledger-read" behind daemon "d1"
    And an instance "ledger-2" of "ledger-read" behind daemon "d2"
    And an instance "ledger-3" of "ledger-read" behind daemon "d3"

  Scenario: A key is withdrawn during a stream of its requests
    Given requests of "can-tho" stream over open connections to all daemons
    When the key of "can-tho" is withdrawn through daemon "d1"
    Then 3 s later no request of the stream is served on any daemon
    And the last 10 requests of the stream are refused as 401 with ran "no"
    And the instances ran as many requests as were served

  Scenario: A request in flight when its key is withdrawn is answered
    Given "can-tho" has sent a request of 1500 ms to daemon "d2"
    When the key of "can-tho" is withdrawn through daemon "d1"
    Then that request gets status 200

  Scenario: A failure domain is cut off from the store
    Given daemon "d3" and "store" are cut off from each other
    And requests of "can-tho" stream over open connections to all daemons
    When the key of "can-tho" is withdrawn through daemon "d1"
    Then 3 s later no request of the stream is served on any daemon

  Scenario: A daemon that is cut off from all others stops accepting keys
    Given requests of "can-tho" stream over open connections to all daemons
    And daemon "d3" is cut off from everything
    When the key of "can-tho" is withdrawn through daemon "d1"
    Then 7 s later no request of the stream is served on any daemon
    When a caller without a key requests "/rates/today" from daemon "d3"
    Then the answer is 200 from instance "ledger-3"

  Scenario: A daemon that was paused serves no withdrawn key when it resumes
    Given requests of "can-tho" stream over open connections to all daemons
    When daemon "d2" is paused
    And the key of "can-tho" is withdrawn through daemon "d1"
    And 6 s pass
    And daemon "d2" resumes
    Then 0 s later no request of the stream is served on any daemon

  Scenario: A daemon that can't load the newer revision stops accepting keys
    Given a daemon "d4" of the mutant "stuck_revision"
    And requests of "can-tho" stream over open connections to all daemons
    When the key of "can-tho" is withdrawn through daemon "d1"
    Then 7 s later no request of the stream is served on any daemon

  Scenario: Without the key freshness rule such a daemon keeps serving
    Given a daemon "d4" of the mutant "keys_always_fresh"
    And requests of "can-tho" stream over open connections to all daemons
    When the key of "can-tho" is withdrawn through daemon "d1"
    Then 7 s later requests of the stream are still served on daemon "d4"

  Scenario: No byte of a key reaches an instance
    Given all instances record the bytes that they receive
    When "can-tho" sends its key in every header form to "/ledger/balances" on all daemons
    Then every answer is 200
    And no instance received a byte of the key of "can-tho"

  Scenario: A customer can't use another customer's route
    Given a key for "da-lat"
    When "can-tho" requests "/sweeps/1" from daemon "d1"
    Then the answer is 403 with ran "no"
    When "can-tho" requests "/sweeps/1" from daemon "d1" as customer "da-lat"
    Then the answer is 403 with ran "no"
    When "da-lat" requests "/sweeps/1" from daemon "d3"
    Then every answer is 200
    And every run of the instances is of "da-lat"

  Scenario: After key rotation both the old and the new key work
    Given the key of "can-tho" is kept as the old key
    And a key for "can-tho"
    When "can-tho" requests "/ledger/balances" from daemon "d2" with both keys
    Then every answer is 200

  Scenario: An expired key is refused
    Given a key for "can-tho" that expires in 2 s
    When 3 s pass
    And "can-tho" requests "/ledger/balances" from daemon "d2"
    Then the answer is 401 with ran "no"
