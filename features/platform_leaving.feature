Feature: Instances that leave after a restart of the daemon
  A daemon that has just started knows its instance from the health path only.
  What a leaving instance sent before must not bring it back.

  Background:
    Given a gate that found its instance "i-1" by a probe

  # Guards against requests to an instance whose deregistration was acknowledged
  # (DRAIN): a heartbeat from before the deregistration arrives after it.
  Scenario Outline: A late heartbeat doesn't bring back an instance that deregistered <how>
    When "i-1", started 5000 ms ago, deregisters <how>
    And a heartbeat of "i-1", started 5000 ms ago, arrives late
    Then the gate's instance is "i-1" and "draining"
    When "i-1" starts again and sends a heartbeat
    Then the gate's instance is "i-1" and "ready"

    Examples:
      | how                             |
      | with the time of its start      |
      | without a body                  |
      | with a body that can't be read  |

  # Guards against the same fault by the other ways in which an instance leaves.
  Scenario: A late heartbeat doesn't bring back an instance that left before it was found
    When "i-2", started 5000 ms ago, deregisters without a body
    And a heartbeat of "i-2", started 5000 ms ago, arrives late
    Then the gate's instance is "i-1" and "ready"

  Scenario: A late heartbeat doesn't bring back an instance that said in a response that it leaves
    When "i-1" says in a response that it leaves
    And a heartbeat of "i-1", started 5000 ms ago, arrives late
    Then the gate's instance is "i-1" and "draining"

  # Guards against an instance that gets no requests because the deregistration
  # of its former incarnation arrived late.
  Scenario: A late deregistration leaves the next incarnation alone
    When a heartbeat of "i-1", started 1000 ms ago, arrives late
    And "i-1", started 5000 ms ago, deregisters with the time of its start
    Then the gate's instance is "i-1" and "ready"
