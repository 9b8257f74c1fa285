Feature: Customers' rates
  Across the whole fleet, a customer starts at most burst + rate·t requests in
  every window of length t, counted at the instances. Requests within the rate
  are not refused.

  Rule: No window exceeds the rate, and a customer within its rate is served

    Background:
      Given a store and 3 daemons in 3 failure domains behind links
      And an instance "ledger-1" of "ledger-read" behind daemon "d1"
      And an instance "ledger-2" of "ledger-read" behind daemon "d2"
      And an instance "ledger-3" of "ledger-read" behind daemon "d3"
      And the sheet:
        """
        kind;id;name;ratePerSecond;burst;floor;path;service
        customer;can-tho;Công ty Cần Thơ;40;30;;;
        customer;da-lat;Công ty Đà Lạt;40;30;;;
        customer;hue;Công ty Huế;5;60;;;
        service;ledger-read;;;;1;;
        route;ledger;;;;;/ledger;ledger-read
        service;sweep-engine;;;;1;;
        route;sweep;;;;;/sweep;sweep-engine
        """
      And a key for "can-tho"
      And a key for "da-lat"
      And a key for "hue"
      And the generation of all daemons is in force everywhere
      And "can-tho" is served through "d1 d2 d3"

    Scenario: Bursts at eight times the rate arrive unevenly at the daemons
      When "can-tho" sends 320 requests a second through "d1 d1 d1 d2 d3", 16 at once
      And 6 s pass
      And all load ends
      Then "can-tho" started at most 30 + 40 a second in every window
      And at least 220 requests of "can-tho" were served

    Scenario: A daemon is killed and restarts while the store is down
      Given the store is away
      When "can-tho" sends 120 requests a second through "d1 d2 d3"
      And 2 s pass
      And daemon "d2" is killed
      And 1 s pass
      And daemon "d2" is started again
      And 5 s pass
      And all load ends
      Then "can-tho" started at most 30 + 40 a second in every window
      And at least 200 requests of "can-tho" were served

    Scenario: Holders are killed after the burst is spent, and restart
      When "hue" sends 30 requests a second through "d1"
      And 4 s pass
      And daemon "d2" is killed
      And daemon "d3" is killed
      And daemon "d2" is started again
      And daemon "d3" is started again
      And 10 s pass
      And all load ends
      Then "hue" started at most 60 + 5 a second in every window
      And at least 30 requests of "hue" were served

    Scenario: A daemon is paused for longer than any expiry time
      When "can-tho" sends 120 requests a second through "d1 d2 d3"
      And 2 s pass
      And daemon "d2" is paused for 6 s
      And 3 s pass
      And all load ends
      Then "can-tho" started at most 30 + 40 a second in every window
      And at least 220 requests of "can-tho" were served

    Scenario: Connections between daemons fail in one direction
      When "can-tho" sends 120 requests a second through "d1 d2 d3"
      And 2 s pass
      And traffic from "d1" to "d2" is blocked
      And traffic from "d3" to "d1" is blocked
      And 6 s pass
      And "d1" and "d2" are connected again
      And "d1" and "d3" are connected again
      And 3 s pass
      And all load ends
      Then "can-tho" started at most 30 + 40 a second in every window
      And at least 250 requests of "can-tho" were served

    Scenario: The generation changes under load
      When "can-tho" sends 120 requests a second through "d1 d2"
      And 1 s pass
      And the generation of daemon "d1" is recorded
      And daemon "d3" is killed
      And daemon "d1" has a newer generation within 30 s
      And 8 s pass
      And the generation of daemon "d1" is recorded
      And daemon "d3" is started again
      And daemon "d1" has a newer generation within 30 s
      And 8 s pass
      And all load ends
      Then "can-tho" started at most 30 + 40 a second in every window
      And at least 900 requests of "can-tho" were served

    Scenario: All requests of a customer at 90 % of its rate arrive at one VM
      When "can-tho" sends 36 requests a second through "d1"
      And 10 s pass
      And all load ends
      Then at most 0 % of the requests of "can-tho" were refused
      And "can-tho" started at most 30 + 40 a second in every window

    Scenario: Slow requests on another VM hold no tokens once they have started
      Given an instance "sweep-1" of "sweep-engine" with 90 slots and 1500 ms behind "d2"
      When "can-tho" sends 36 requests a second for "/sweep/now" through "d1"
      And 8 s pass
      And all load ends
      Then at most 0 % of the requests of "can-tho" were refused
      And "can-tho" started at most 30 + 40 a second in every window

    Scenario: A VM fails while the store is down
      Given the store is away
      When "can-tho" sends 36 requests a second through "d1"
      And 2 s pass
      And daemon "d3" is killed
      And 12 s pass
      And all load ends
      Then at most 30 % of the requests of "can-tho" were refused
      And "can-tho" started at most 30 + 40 a second in every window

    Scenario: A customer at eight times its rate does not affect others
      When "can-tho" sends 320 requests a second through "d1 d2 d3"
      And "da-lat" sends 36 requests a second through "d1"
      And 8 s pass
      And all load ends
      Then at most 0 % of the requests of "da-lat" were refused
      And "can-tho" started at most 30 + 40 a second in every window

  Rule: The check detects a fleet that exceeds the rate

    Scenario: A holder grants tokens as soon as it starts
      Given daemons "d1 d2 d3" run the mutant "grants-at-start"
      And the generation of all daemons is in force everywhere
      And an instance "ledger-1" of "ledger-read" behind daemon "d1"
      And an instance "ledger-2" of "ledger-read" behind daemon "d1"
      And the sheet:
        """
        kind;id;name;ratePerSecond;burst;floor;path;service
        customer;hue;Công ty Huế;1;60;;;
        service;ledger-read;;;;1;;
        route;ledger;;;;;/ledger;ledger-read
        """
      And a key for "hue"
      And "hue" is served through "d1 d2 d3"
      When "hue" sends 30 requests a second through "d1"
      And 4 s pass
      And daemon "d2" is killed
      And daemon "d3" is killed
      And daemon "d2" is started again
      And daemon "d3" is started again
      Then within 50 s "hue" started more than 60 + 1 a second in some window
