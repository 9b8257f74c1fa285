Feature: Repeats stay within the bounds that operators configure
  In any window, the repeats to a service may not exceed a ratio of its requests
  plus a fixed number, counted over all daemons together. The scenarios run
  without a network; each names the fault pattern that it guards against.

  # Guards against budgets that add up when daemons disagree about the owner.
  Scenario Outline: Daemons share one budget while <fault>
    Given 30 daemons that share a repeat budget
    When 70 requests and 40 failures per second arrive for 40 seconds while <fault>
    Then no 10 second window has more repeats than the budget allows
    And some 10 second window uses at least <used> percent of the budget

    Examples:
      | fault                                              | used |
      | nothing fails                                      | 75   |
      | a tenth of the daemons lose the owner each second  | 50   |
      | half of the daemons lose the owner every 2 seconds | 30   |
      | a third of the daemons is cut off for 12 seconds   | 50   |
      | daemons restart one after the other                | 30   |
      | all daemons restart at once                        | 50   |

  # Guards against tokens that accumulate in quiet times and are spent at once.
  Scenario: A budget that was unused for a while is no larger
    Given 30 daemons that share a repeat budget
    When 70 requests and 0 failures per second arrive for 20 seconds while nothing fails
    And 70 requests and 300 failures per second arrive for 20 seconds while nothing fails
    Then no 10 second window has more repeats than the budget allows
    And some 10 second window uses at least 75 percent of the budget

  # Guards against a pool that grows as long as nothing is repeated.
  Scenario: Unused tokens are dropped
    When a pool receives a token with a lifetime of 5000 ms every 10 ms for 60 seconds
    Then it holds at most 501 lots

  # Guards against days that come close to the budget without anybody noticing.
  Scenario: The logs show the busiest window of repeats and the budget's owners
    Given log lines of "documents":
      | second | event              | owner |
      | 0      | repeat             | vm-1  |
      | 11     | repeat             | vm-1  |
      | 12     | repeat-call        |       |
      | 13     | repeat-over-budget | vm-2  |
      | 20.9   | repeat             | vm-2  |
      | 21.1   | repeat-call        |       |
    Then its busiest window has 2 repeats, 1 call and 1 over the budget
    And the owners of the budget in that window are "vm-1,vm-2"

  # Guards against calls of repeats that are not counted: requests that make no
  # such calls ran at the same time and hid them.
  Scenario: Each call of a repeat is charged, whatever runs at the same time
    Given a backend server that always runs 2 payments
    When 40 lookups run there as repeats and each makes one call
    Then at least 40 calls are charged as repeats
    And at most 40 calls are charged as repeats

  # Guards against charging calls while nothing is repeated.
  Scenario: Calls of requests that aren't repeats are not charged
    Given a backend server that always runs 2 payments
    When 40 lookups run there for the first time and each makes one call
    Then at most 0 calls are charged as repeats
