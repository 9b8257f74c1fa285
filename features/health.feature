Feature: Outlier detection finds gray failures
  The gate in front of an instance compares the real traffic of the instance
  with that of its siblings, and gives probes and load reports less weight.

  Background:
    Given 6 instances of a service with floor 4, each behind its own daemon
    And 120 requests a second

  Scenario Outline: A failing or slow instance is detected while its probes succeed
    When instances "ledger-2" have the faults "<faults>"
    Then instance "ledger-2" drops below grade full within <bound> ms
    And instance "ledger-2" is ejected within 5000 ms
    And no healthy instance was ejected
    When instances "ledger-2" have the faults "{}"
    Then instance "ledger-2" is back at grade full within 20000 ms

    Examples:
      | faults               | bound |
      | {\"errorShare\":1}   | 1000  |
      | {\"errorShare\":0.3} | 3000  |
      | {\"serviceMs\":60}   | 3000  |
      | {\"hang\":true}      | 1000  |

  Scenario Outline: An instance that crashed or hangs is detected
    When instance "ledger-2" receives signal "<signal>"
    Then instance "ledger-2" drops below grade full within 1000 ms
    And no healthy instance was ejected

    Examples:
      | signal  |
      | SIGKILL |
      | SIGSTOP |

  Scenario Outline: A false probe result or load report causes no ejection
    When instances "ledger-2" have the faults "<faults>"
    And 6000 ms pass
    Then at most 0 instances were ejected at any time
    And at least 999 of 1000 requests were answered 200

    Examples:
      | faults                |
      | {\"probeStatus\":500} |
      | {\"reportedBusy\":3}  |

  Scenario: No instance is ejected when all are slow at once
    When instances "ledger-1 ledger-2 ledger-3 ledger-4 ledger-5 ledger-6" have the faults "{\"serviceMs\":60}"
    And 6000 ms pass
    Then at most 0 instances were ejected at any time
    And at least 999 of 1000 requests were answered 200

  Scenario: A flapping instance stays out of service longer after each relapse
    When instances "ledger-2" alternate between the faults "{\"errorShare\":1}" and none every 4000 ms, 3 times
    Then instance "ledger-2" was ejected at most 3 times
    And no healthy instance was ejected
