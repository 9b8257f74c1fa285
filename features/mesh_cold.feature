Feature: Requests to a cold instance are paced at its gate
  An instance that is cold ends if it gets far more requests per second than its
  service's record says, summed over all daemons.

  # Guards against 23 and 24 requests in one second at a cold instance where 22.7
  # were allowed. Load: any number of requests at any time.
  Scenario: No pattern of requests exceeds what a cold instance tolerates
    When 3000 random patterns of requests, restarts and cold starts are simulated
    Then no second that ends with a paced request has more than the allowance
    And no request is sent without pacing once the instance has reported
    And no request reaches a cold instance without pacing before the first report

  Scenario Outline: The limit needs the rule <rule>
    When 3000 random patterns are simulated without the rule "<rule>"
    Then the simulation finds a cold instance that gets too much

    Examples:
      | rule          |
      | assumeAtStart |
      | fullAtStart   |
      | countUnpaced  |
      | holdAtCap     |

  # Guards against pacing that never ends, or that begins without a record.
  Scenario Outline: An instance is paced <when>
    Given a service with WarmupS <warmupS> and ColdPerS <perS>
    When the gate starts, and the instance reports <cold> ms after <report> ms
    Then <offset> ms after the start the pace is <pace> per second

    Examples:
      | when                                  | warmupS | perS | report | cold | offset | pace |
      | until it has reported                 | 20      | 9.8  | 500    | 0    | 400    | 9.8  |
      | no more once it reports that it's warm | 20     | 9.8  | 500    | 0    | 500    | none |
      | as long as it says                    | 20      | 9.8  | 500    | 3000 | 3400   | 9.8  |
      | no longer than it says                | 20      | 9.8  | 500    | 3000 | 3500   | none |
      | for one warm-up if it never reports   | 20      | 9.8  | 90000  | 0    | 19999  | 9.8  |
      | not after one warm-up                 | 20      | 9.8  | 90000  | 0    | 20000  | none |
      | not without a warm-up                 | 0       | 9.8  | 500    | 3000 | 600    | none |
      | not without a rate                    | 20      | 0    | 500    | 3000 | 600    | none |

  # Guards against requests without pacing in the first moments of a gate. The
  # slack of 8 is allowed whatever the record says.
  Scenario: While no configuration is known, a cold instance gets at most the slack
    Given a service whose record isn't known
    When the gate starts, and the instance reports 3000 ms after 500 ms
    Then 600 ms after the start the pace is 4 per second
    And 3500 ms after the start the pace is none per second

  # Guards against a limit that is taken from a peer though it isn't a number.
  Scenario Outline: A record with <field> "<value>" from a peer counts as unknown
    Given a gate that was configured with <field> "<value>"
    Then its log has 1 line of invalid limits after 3 such configurations

    Examples:
      | field    | value     |
      | coldPerS | -1        |
      | coldPerS | NaN       |
      | warmupMs | -Infinity |

  # Guards against requests that reach a cold instance together, since they had
  # their turns while all slots were taken.
  Scenario: A cold instance gets its rate through all daemons of a fleet
    Given a mesh fleet of 3 VMs with 8 slots each
    And a service with WarmupS 20 and ColdPerS 10 is configured on the fleet
    And every backend server responds slowly
    And the instance of VM 0 reports that it stays cold for 20000 ms
    When callers send 32 requests per second to "/once/" for 5 s, spread over all VMs
    Then VM 0 got at most 23 requests in any second
    And VM 0 got at least 25 requests
    And at least 97 in 100 requests were served
    And VM 0 exports a cold limit of "10"

  # Guards against instances that become cold and get their share of a load that
  # is three times what all of them take.
  Scenario: Instances that become cold under load are paced from their report on
    Given a mesh fleet of 3 VMs with 8 slots each
    And a service with WarmupS 20 and ColdPerS 10 is configured on the fleet
    And callers have sent 90 requests per second to "/once/" for 2 s, spread over all VMs
    When every instance reports that it stays cold for 20000 ms
    And callers send 90 requests per second to "/once/" for 4 s, spread over all VMs
    Then from 1000 ms after its report, VM 0 got at most 23 requests in any second

  # Guards against reservations of the time before the report that are all used at
  # once after it. 9.5 requests in a second are allowed.
  Scenario: Reservations from before the report are held at the cap
    Given a gate with 8 slots, whose service has WarmupS 20 and ColdPerS 1
    And all its slots are reserved
    When its instance reports that it is cold, and all reservations are used
    Then 5 requests reach the instance, and 3 are returned as "cold"

  # Guards against requests that are refused though they could wait for a turn.
  Scenario: Requests wait for a turn when every instance is cold
    Given a mesh fleet of 3 VMs with 8 slots each
    And a service with WarmupS 20 and ColdPerS 10 is configured on the fleet
    And every instance reports that it stays cold for 20000 ms
    When callers send 24 requests per second to "/once/" for 5 s, spread over all VMs
    Then VM 0 got at most 23 requests in any second
    And at least 97 in 100 requests were served

  # Guards against a gate that looks empty and without a limit to a router after a
  # change of state, since a full status has no wait for a turn.
  Scenario: The wait for a turn follows each full status
    Given a mesh fleet of 2 VMs with 8 slots each
    And a service with WarmupS 20 and ColdPerS 10 is configured on the fleet
    And every instance reports that it stays cold for 20000 ms
    When a peer connects to VM 0, whose configuration changes later
    Then it gets 2 full statuses, each followed by a wait for a turn

  # Guards against a daemon that never paces, because a peer with an old version
  # passed the configuration on without the cold limits.
  Scenario: The store completes a configuration that an old daemon passed on
    Given a tracker that got version 3 from a peer without cold limits
    When it gets version 3 from the store with cold limits
    Then its service has a ColdPerS of 10
    When it gets version 3 from a peer without cold limits again
    Then its service has a ColdPerS of 10
