Feature: Time limit of a run at the gate
  A gate ends a run when its request's time has passed, also if no router
  cancels it.

  # Guards against a slot that stays held for minutes because its router lost
  # power while the instance was hanging.
  Scenario: A slot is free again after the time of a request whose router is gone
    Given a gate whose instance with 1 slot hangs
    When a router runs a request with 300 ms left and is never heard of again
    Then the run ends between 300 and 2000 ms later with an unknown outcome
    And the gate has no running request and logged the exceeded limit once

  Scenario: A router that cancels its run at the deadline is not logged
    Given a gate whose instance with 1 slot hangs
    When a router runs a request with 300 ms left and cancels it after 300 ms
    Then the run ends between 200 and 700 ms later with an unknown outcome
    And the gate has no running request and logged no exceeded limit

  # Guards against a timer whose delay overflows and which ends the run at once.
  Scenario: A caller's very long time limit doesn't end its run
    Given a gate whose instance with 1 slot hangs
    When a router runs a request with 10000000000000 ms left and cancels it after 400 ms
    Then the run ends between 300 and 900 ms later with an unknown outcome
    And the gate has no running request and logged no exceeded limit

  Scenario: A run with a time that is no number is not started
    Given a gate whose instance with 1 slot hangs
    When a router runs a request whose time left is no number
    Then the request was not run

  # Guards against statuses that only some range check lets through.
  Scenario: Exactly the statuses from 200 to 599 end a request
    Then for all integers only those from 200 to 599 are final statuses
