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

  # Guards against calls that fail, and lose all the work of the requests that
  # made them, because repeats of ordinary requests took the last tokens.
  Scenario Outline: Calls of instances are repeated first while <fault>
    Given 30 daemons that share a repeat budget and keep 20 percent of it for calls
    When 70 requests and 40 failures per second, of them 10 and 3 of calls, arrive for 40 seconds while <fault>
    Then at least <calls> percent of the failed calls are repeated
    And no 10 second window has more repeats than the budget allows
    And some 10 second window uses at least 75 percent of the budget

    Examples:
      | fault                                              | calls |
      | nothing fails                                      | 95    |
      | a tenth of the daemons lose the owner each second  | 80    |

  # The share of calls before there was a reserve, which stays the default.
  Scenario: Without a reserve, calls are repeated as rarely as other requests
    Given 30 daemons that share a repeat budget
    When 70 requests and 40 failures per second, of them 10 and 3 of calls, arrive for 40 seconds while nothing fails
    Then at most 70 percent of the failed calls are repeated

  # Guards against a reserve that takes tokens from services without calls.
  Scenario: The reserve changes nothing for a service without calls
    Given 30 daemons that share a repeat budget and keep 20 percent of it for calls
    When 70 requests and 40 failures per second arrive for 40 seconds while nothing fails
    Then as many requests are repeated as without a reserve

  # Guards against a reserve that outlasts the calls.
  Scenario: The reserve ends 10 s after the last call
    When a reserve of 20 percent has 100 tokens and gets calls until 5000 ms
    Then it keeps 20 tokens at 14999 ms
    And it keeps 0 tokens at 15000 ms

  Scenario: In any sequence, only calls take the tokens that are kept for them
    Then in any sequence of tokens and repeats, others leave the kept tokens, and calls take the last one

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
