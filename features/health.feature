Feature: Gray failures are found
  The gate in front of an instance judges it by its real work beside its
  siblings, and trusts probes and load reports less.

  Background:
    Given 6 instances of a service with floor 4, each behind its own daemon
    And 120 requests a second

  Scenario Outline: A failing instance is found while its probes pass
    When instances "ledger-2" have the faults "<faults>"
    Then instance "ledger-2" is doubted within <bound> ms
    And instance "ledger-2" is ejected within 5000 ms
    And no healthy instance was ejected
    When instances "ledger-2" have the faults "{}"
    Then instance "ledger-2" is full again within 20000 ms

    Examples:
      | faults               | bound |
      | {\"errorShare\":1}   | 1000  |
      | {\"errorShare\":0.3} | 3000  |
      | {\"serviceMs\":60}   | 3000  |
      | {\"hang\":true}      | 1000  |

  Scenario Outline: An instance that crashed or froze is found
    When instance "ledger-2" gets "<signal>"
    Then instance "ledger-2" is doubted within 1000 ms
    And no healthy instance was ejected

    Examples:
      | signal  |
      | SIGKILL |
      | SIGSTOP |

  Scenario Outline: A lie about health ejects nobody
    When instances "ledger-2" have the faults "<faults>"
    And 6000 ms pass
    Then at no time more than 0 instances were ejected
    And at least 999 of 1000 requests were answered 200

    Examples:
      | faults                |
      | {\"probeStatus\":500} |
      | {\"reportedBusy\":3}  |

  Scenario: All instances slow at once is load, not sickness
    When instances "ledger-1 ledger-2 ledger-3 ledger-4 ledger-5 ledger-6" have the faults "{\"serviceMs\":60}"
    And 6000 ms pass
    Then at no time more than 0 instances were ejected
    And at least 999 of 1000 requests were answered 200

  Scenario: A flapping instance stays out for longer each time
    When instances "ledger-2" flap between "{\"errorShare\":1}" and health each 4000 ms, 3 times
    Then instance "ledger-2" was ejected at most 3 times
    And no healthy instance was ejected
