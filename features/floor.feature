Feature: Ejection never takes a service below its floor
  However many gates request ejections at once, and on whatever evidence, an
  instance is ejected only with a permit from the one authority over the
  floor, which counts the instances that stay in service.

  Scenario Outline: Several instances fail at the same time
    Given 6 instances of a service with floor <floor>, each behind its own daemon
    And 90 requests a second
    When instances "ledger-1 ledger-3 ledger-5" have the faults "<faults>"
    And 6000 ms pass
    Then at most <allowed> instances were ejected at any time
    And no healthy instance was ejected

    Examples:
      | floor | faults                                     | allowed |
      | 5     | {\"errorShare\":1}                         | 1       |
      | 3     | {\"errorShare\":1}                         | 3       |
      | 4     | {\"errorShare\":0.5,\"probeStatus\":200}   | 2       |

  Scenario: Probes pass on a faulty instance and fail on healthy ones
    Given 6 instances of a service with floor 4, each behind its own daemon
    And 90 requests a second
    When instances "ledger-1" have the faults "{\"errorShare\":1,\"probeStatus\":200}"
    And the probes of instances "ledger-2 ledger-3 ledger-4 ledger-5" are answered with 500
    And 6000 ms pass
    Then at most 2 instances were ejected at any time
    And no healthy instance was ejected

  Scenario: Two instances flap
    Given 6 instances of a service with floor 5, each behind its own daemon
    And 90 requests a second
    When instances "ledger-1 ledger-2" alternate between the faults "{\"errorShare\":1}" and none every 2000 ms, 3 times
    Then at most 1 instances were ejected at any time
    And no healthy instance was ejected

  Scenario: One of the two daemons of a failure domain can receive but not send
    Given 6 instances of a service with floor 5, each behind its own daemon
    And 90 requests a second
    When instances "ledger-1 ledger-2" have the faults "{\"errorShare\":1}"
    And all messages from "d1" to other daemons are lost
    And 8000 ms pass
    Then at most 1 instances were ejected at any time
    And no healthy instance was ejected

  Scenario Outline: The authority stops responding while an instance is faulty
    Given 6 instances of a service with floor 5, each behind its own daemon
    And 90 requests a second
    When instances "ledger-1" have the faults "{\"errorShare\":1}"
    Then instance "ledger-1" is ejected within 5000 ms
    When the authority over the floor receives signal "<signal>"
    And instances "ledger-2" have the faults "{\"errorShare\":1}"
    And 5000 ms pass
    Then no instance is currently ejected
    When the authority over the floor receives signal "SIGCONT"
    And 8000 ms pass
    Then at most 1 instances were ejected at any time
    And no healthy instance was ejected

    Examples:
      | signal  |
      | SIGSTOP |
      | SIGKILL |

  Scenario: Without permits the service would fall below its floor
    Given 6 instances of a service with floor 5 behind daemons with the mutant "permit-not-asked"
    And 90 requests a second
    When instances "ledger-1 ledger-3 ledger-5" have the faults "{\"errorShare\":1}"
    Then more than 1 instance was ejected at some time, so the check would fail
