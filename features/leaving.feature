Feature: Draining backend servers and planned stops
  A draining backend server gets no new work after a few seconds. A planned
  stop of a daemon completes the requests in flight, and a rolling restart of
  all daemons loses none.

  Background:
    Given a store and 3 daemons in 3 failure domains
    And an instance "desk-1" of "liquidity-desk" that announces to "d1,d2,d3"
    And an instance "desk-2" of "liquidity-desk" that announces to "d2,d3,d1"
    And an instance "desk-3" of "liquidity-desk" that announces to "d3,d1,d2"
    And the sheet:
      """
      kind;id;name;ratePerSecond;burst;floor;path;service;deadlineMs
      customer;can-tho;Công ty Cần Thơ;1000;500;;;;
      service;liquidity-desk;;;;1;;;
      route;desk;;;;;/desk;liquidity-desk;20000
      service;nobody;;;;0;;;
      route;nobody;;;;;/nobody;nobody;1000
      """
    And a key for "can-tho"
    And the generation of all daemons is in force everywhere
    And the rate of "can-tho" is known everywhere

  Scenario: A draining instance gets no new work
    Given "can-tho" keeps posting to "/desk/run"
    When instance "desk-1" starts to drain
    And 2 s have passed
    And the runs of "desk-1" are counted
    And 2 s have passed
    Then "desk-1" has run no request since
    And every post was answered with 200

  Scenario: A planned stop completes slow answers and uploads
    When "can-tho" starts slow requests and uploads at every daemon
    And daemon "d1" gets SIGTERM
    Then every slow request and upload is answered with 200
    And daemon "d1" has exited with code 0

  Scenario: A stop that does not wait for connections cuts requests
    Given daemon "m" runs the mutant "cut_at_stop"
    When "can-tho" starts slow requests and uploads at every daemon
    And daemon "m" gets SIGTERM
    Then some slow request or upload is cut

  # Guards against requests that are taken late in a stop and cut at its end.
  Scenario: A request that is in flight when the stop timeout ends gets an answer
    Given daemon "s" has a stop timeout of 3000 ms
    When a request that takes 8000 ms is in flight at daemon "s"
    And daemon "s" gets SIGTERM
    Then that request is answered with 504 and ran "unknown"

  Scenario: A request that could not end before the stop timeout does is refused at once
    Given daemon "s" has a stop timeout of 2000 ms
    When daemon "s" gets SIGTERM
    And 800 ms later a request is sent to daemon "s"
    Then that request is answered with 503 and ran "no"
    And it ran at no instance

  Scenario: A rolling restart of all daemons loses no request
    Given "can-tho" keeps posting to "/desk/run"
    When all daemons are restarted one after the other
    Then every post was answered with 200
    And no request ran twice and none answered with ran "no" has run
