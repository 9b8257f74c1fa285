Feature: Ejection keeps the floor
  However many gates want to eject at once, on whatever news, an instance is
  ejected only with a permit of one authority, which counts the others.

  Scenario Outline: Many instances fail at the same moment
    Given 6 instances of a service with floor <floor>, each behind its own daemon
    And 90 requests a second
    When instances "ledger-1 ledger-3 ledger-5" have the faults "<faults>"
    And 6000 ms pass
    Then at no time more than <allowed> instances were ejected
    And no healthy instance was ejected

    Examples:
      | floor | faults                                     | allowed |
      | 5     | {\"errorShare\":1}                         | 1       |
      | 3     | {\"errorShare\":1}                         | 3       |
      | 4     | {\"errorShare\":0.5,\"probeStatus\":200}   | 2       |

  Scenario: Probes lie in both directions
    Given 6 instances of a service with floor 4, each behind its own daemon
    And 90 requests a second
    When instances "ledger-1" have the faults "{\"errorShare\":1,\"probeStatus\":200}"
    And the probes of instances "ledger-2 ledger-3 ledger-4 ledger-5" answer 500
    And 6000 ms pass
    Then at no time more than 2 instances were ejected
    And no healthy instance was ejected

  Scenario: Instances flap out of step
    Given 6 instances of a service with floor 5, each behind its own daemon
    And 90 requests a second
    When instances "ledger-1 ledger-2" flap between "{\"errorShare\":1}" and health each 2000 ms, 3 times
    Then at no time more than 1 instances were ejected
    And no healthy instance was ejected

  Scenario: Half of one failure domain is cut off one way
    Given 6 instances of a service with floor 5, each behind its own daemon
    And 90 requests a second
    When instances "ledger-1 ledger-2" have the faults "{\"errorShare\":1}"
    And what "d1" sends to all others is lost
    And 8000 ms pass
    Then at no time more than 1 instances were ejected
    And no healthy instance was ejected

  Scenario Outline: The authority is silent while an instance is sick
    Given 6 instances of a service with floor 5, each behind its own daemon
    And 90 requests a second
    When instances "ledger-1" have the faults "{\"errorShare\":1}"
    Then instance "ledger-1" is ejected within 5000 ms
    When the authority over the floor gets "<signal>"
    And instances "ledger-2" have the faults "{\"errorShare\":1}"
    And 5000 ms pass
    Then no instance is ejected at the moment
    When the authority over the floor gets "SIGCONT"
    And 8000 ms pass
    Then at no time more than 1 instances were ejected
    And no healthy instance was ejected

    Examples:
      | signal  |
      | SIGSTOP |
      | SIGKILL |

  Scenario: Without permits the floor would be broken
    Given 6 instances of a service with floor 5 behind daemons with the mutant "permit-not-asked"
    And 90 requests a second
    When instances "ledger-1 ledger-3 ledger-5" have the faults "{\"errorShare\":1}"
    Then the check would fail: at some time more than 1 were ejected
