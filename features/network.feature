Feature: A fleet behind links
  Every daemon reaches the others and the store through links that can be cut.

  Scenario: Requests go on while one daemon hears another but isn't heard
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
    When what "d1" sends to "d3" is lost
    And "can-tho" requests "/ledger/balances" from daemon "d1"
    Then the answer is 200 from instance "ledger-1"
    When "d1" and "d3" are connected again
    And "can-tho" requests "/ledger/balances" from daemon "d2"
    Then the answer is 200 from instance "ledger-2"
