Feature: Malformed bytes from callers
  Requests with unusual methods, paths, fields and bodies, generated from a
  fixed seed.

  # Guards against bytes that end the process, or that are never answered.
  Scenario: A mesh daemon answers or closes every connection, and serves others
    Given a mesh daemon with an idle time of 1000 ms
    When 400 connections send malformed bytes
    Then each is answered or closed within 4000 ms
    And a valid request is still answered with 200

  # Guards against the same for the product's own daemon.
  Scenario: A daemon answers or closes every connection, and serves others
    Given a store and 1 daemons in 1 failure domains
    And an instance "ledger-1" of "ledger-read" behind daemon "d1"
    And the sheet:
      """
      kind;id;name;ratePerSecond;burst;floor;path;service
      customer;can-tho;Công ty Cần Thơ;50;20;;;
      service;ledger-read;;;;1;;
      route;ledger;;;;;/ledger;ledger-read
      """
    And a key for "can-tho"
    And "can-tho" is served through "d1"
    When 400 connections send malformed bytes to daemon "d1"
    Then each is answered or closed within 13000 ms
    And "can-tho" requests "/ledger/balances" from daemon "d1"
    Then the answer is 200 from instance "ledger-1"
