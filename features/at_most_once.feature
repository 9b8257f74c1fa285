Feature: At most once
  A request that is not idempotent runs at most once, and a request that was
  answered as not run has certainly not run. The backend servers record the id
  of each request that runs.

  Background:
    Given a fleet of 3 daemons that remember idempotency keys for 5000 ms
    And an instance "sweep-1" of "sweep-engine" behind daemon "d1"
    And the sheet:
      """
      kind;id;name;ratePerSecond;burst;floor;path;service;deadlineMs
      customer;can-tho;Công ty Cần Thơ;1000;500;;;;
      service;sweep-engine;;;;1;;;
      route;sweep;;;;;/sweep;sweep-engine;2500
      service;nobody;;;;0;;;
      route;nobody;;;;;/nobody;nobody;1000
      """
    And a key for "can-tho"
    And the generation of all daemons is in force everywhere
    And the rate of "can-tho" is known everywhere

  Scenario: A lost answer is reported as unknown by the gate's daemon and by another
    Given the instances drop their answers
    When "can-tho" posts to "/sweep/a" at daemon "d1"
    Then the answer is 502 with ran "unknown"
    When "can-tho" posts to "/sweep/b" at daemon "d2"
    Then the answer is 502 with ran "unknown"
    And 2 requests ran, none of them twice

  # Guards against bytes of an earlier response that are taken for this one.
  Scenario: A refusal that an instance repeats is taken for no other request
    Given the instances repeat a refusal on connections that are kept
    When "can-tho" posts 12 times to "/sweep/a" at daemons "d1,d2", one after the other
    Then every request was answered, and at least 12 of them with 503
    And as many requests ran as were answered with 200

  Scenario Outline: An incomplete answer is reported as unknown: <answer>
    Given the instances send answers that are "<answer>"
    When "can-tho" posts to "/sweep/a" at daemon "d1"
    Then the answer is 502 with ran "unknown"
    When "can-tho" posts to "/sweep/b" at daemon "d2"
    Then the answer is 502 with ran "unknown"
    And 2 requests ran, none of them twice

    Examples:
      | answer                        |
      | cut within the head           |
      | cut after a field             |
      | cut after an interim response |
      | with a faulty field name      |

  Scenario: An answer without length that is reset is not completed
    Given the instances send answers that are "reset within a body without length"
    When "can-tho" posts 4 times to "/sweep/a" at daemons "d1,d2", one after the other
    Then no answer is complete

  Scenario: Without the retry rule a request with a lost answer runs twice
    Given an instance "sweep-2" of "sweep-engine" behind daemon "d3"
    And daemon "m" runs the mutant "retry_unknown"
    And the instances drop their answers
    When "can-tho" posts to "/sweep/a" at daemon "m"
    Then a request ran twice

  Scenario: The gate's daemon is killed before, during and after its sends
    Given an instance "sweep-2" of "sweep-engine" behind daemon "d3"
    When "can-tho" posts 60 times to "/sweep/run" at daemons "d2,d3" while daemon "d1" is killed
    Then no request ran twice and none answered with ran "no" has run
    And every request was answered, and at least 30 of them with 200

  Scenario: A frozen instance that resumes runs no request twice
    Given an instance "sweep-2" of "sweep-engine" behind daemon "d3"
    When "can-tho" posts 12 times to "/sweep/run" at daemons "d1,d2,d3" while instance "sweep-1" is frozen
    Then no request ran twice and none answered with ran "no" has run
    And every request was answered, and at least 1 of them with 200

  Scenario: A frozen gate that resumes runs no request twice
    Given an instance "sweep-2" of "sweep-engine" behind daemon "d3"
    When "can-tho" posts 12 times to "/sweep/run" at daemons "d2,d3" while daemon "d1" is frozen
    Then no request ran twice and none answered with ran "no" has run
    And every request was answered, and at least 1 of them with 200

  Scenario: A request with a reused idempotency key does not run again
    Given requests of "can-tho" with idempotency keys are served
    When "can-tho" posts with the idempotency key "k-1" to all daemons 5 times at once
    Then at most 1 request with the path "/sweep/k-1" ran
    When "can-tho" posts with the idempotency key "k-2" to daemon "d2" until it is served
    And "can-tho" posts with the idempotency key "k-2" to daemon "d3"
    Then the answer is 409 with ran "no"
    When daemon "d1" is killed and started again
    And "can-tho" posts with the idempotency key "k-2" to all daemons 1 time at once
    Then exactly 1 request with the path "/sweep/k-2" ran

  Scenario: Requests with keys are refused when all holders lost their entries
    Given requests of "can-tho" with idempotency keys are served
    When "can-tho" posts with the idempotency key "k-3" to daemon "d2"
    Then the answer is 200
    When all daemons are killed and started again
    And "can-tho" posts with the idempotency key "k-3" to daemon "d2"
    Then the answer is 503 with ran "no"
    And at most 1 request with the path "/sweep/k-3" ran

  Scenario: A key runs twice if holders that lost their entries are trusted
    Given daemon "m" runs the mutant "trust_forgetful"
    And requests of "can-tho" with idempotency keys are served
    When "can-tho" posts with the idempotency key "k-4" to daemon "m"
    Then the answer is 200
    When all daemons are killed and started again
    And "can-tho" posts with the idempotency key "k-4" to daemon "m" until it is served
    Then exactly 2 requests with the path "/sweep/k-4" ran
