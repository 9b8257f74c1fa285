Feature: Hedged requests in a mesh fleet
  Real daemons send slow idempotent requests to a second backend server, within
  the limit that the setting `hedging` allows.

  # Guards against hedges whose losing run goes on, and against hedges that are
  # not counted.
  Scenario: A backend server is slow and some hedges are allowed
    Given hedges for 50 % of the requests
    And a mesh fleet of 3 VMs with 4 slots each
    When callers send 90 requests to "/repeatable/", spread over all VMs
    And one backend server responds slowly
    And callers send 30 requests to "/repeatable/", spread over all VMs
    Then all responses have status 200
    And no request ran more than 2 times
    And within 500 ms no request is running at any backend server
    And the metrics count hedges for at most 50 % of 120 requests, and how each ended

  Scenario: A backend server is slow and no hedge is allowed
    Given hedges for 0 % of the requests
    And a mesh fleet of 3 VMs with 4 slots each
    When callers send 90 requests to "/repeatable/", spread over all VMs
    And one backend server responds slowly
    And callers send 30 requests to "/repeatable/", spread over all VMs
    Then all responses have status 200
    And every request ran exactly once
    And the metrics count refused hedges for the reason "limit"

  Scenario: A slow request that may run once only is not hedged
    Given hedges for 100 % of the requests
    And a mesh fleet of 3 VMs with 4 slots each
    When callers send 30 requests to "/repeatable/", spread over all VMs
    And every backend server responds slowly
    And callers send 12 requests to "/once/", spread over all VMs
    Then all responses have status 200
    And every request ran exactly once

  Scenario: A backend server fails and no hedge is allowed
    Given hedges for 0 % of the requests
    And a mesh fleet of 3 VMs with 4 slots each
    And one backend server closes the connection
    When callers send 12 requests to "/repeatable/", spread over all VMs
    Then all responses have status 200

  Scenario Outline: Invalid hedging settings stop the start
    When the settings of a daemon have <hedging> as "hedging"
    Then they are refused, naming "<path>"

    Examples:
      | hedging                                  | path                  |
      | {"maxExtraShare": 1.1}                   | hedging.maxExtraShare |
      | {"quantile": 0.9}                        | hedging.maxExtraShare |
      | {"maxExtraShare": 0.1, "quantile": 1}    | hedging.quantile      |
      | {"maxExtraShare": 0.1, "quantile": "95"} | hedging.quantile      |

  # Guards against a peer that takes tokens which aren't there, or blocks its own.
  Scenario Outline: A peer asks for a token and <value> spare tokens
    Given a mesh fleet of 2 VMs with 2 slots each
    When a peer pays 2 tokens and asks 3 times for a token and <value> spare ones
    Then 2 of its tokens are granted, and the invalid field is logged <lines> times

    Examples:
      | value    | lines |
      | 0        | 0     |
      | -1       | 1     |
      | NaN      | 1     |
      | Infinity | 1     |
