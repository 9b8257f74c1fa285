Feature: Repeats stay within what the operators allow
  In any window a service may see repeats by a share of its requests and a
  fixed number beside it, over all daemons together. Each scenario is played
  without a network and names the pattern that it answers.

  # Guards against budgets that add up when daemons disagree on who owns one.
  Scenario Outline: Daemons share one budget while <trouble>
    Given 30 daemons that share a budget of repeats
    When 70 requests and 40 failures a second come for 40 seconds while <trouble>
    Then no 10 seconds see more repeats than the budget allows
    And some 10 seconds use at least <used> percent of it

    Examples:
      | trouble                                      | used |
      | nothing happens                              | 75   |
      | asks go unanswered now and then              | 50   |
      | half of the daemons lose each owner by turns | 30   |
      | a third is cut off for 12 seconds            | 50   |
      | daemons restart one after the other          | 30   |
      | all daemons restart at once                  | 50   |

  # Guards against tokens that are saved up in calm times and spent at once.
  Scenario: A budget that wasn't used for a while is no larger
    Given 30 daemons that share a budget of repeats
    When 70 requests and 0 failures a second come for 20 seconds while nothing happens
    And 70 requests and 300 failures a second come for 20 seconds while nothing happens
    Then no 10 seconds see more repeats than the budget allows
    And some 10 seconds use at least 75 percent of it

  # Guards against a pool that grows as long as nothing is repeated.
  Scenario: Tokens that nobody takes are dropped
    When a pool gets a token that lasts 5000 ms every 10 ms for 60 seconds
    Then it holds at most 501 lots

  # Guards against days that come near to the budget and that nobody sees.
  Scenario: The logs tell the busiest window of repeats and who kept the budget
    Given log lines of "documents":
      | second | event              | owner |
      | 0      | repeat             | vm-1  |
      | 11     | repeat             | vm-1  |
      | 12     | repeat-call        |       |
      | 13     | repeat-over-budget | vm-2  |
      | 20.9   | repeat             | vm-2  |
      | 21.1   | repeat-call        |       |
    Then its busiest window has 2 repeats, 1 call and 1 over the budget
    And the budget was kept by "vm-1,vm-2" in it

  # Guards against calls of repeats that nobody counts: work that makes no such
  # calls ran beside the repeats and hid them.
  Scenario: Each call of a repeat is charged, whatever runs beside it
    Given a backend server that runs 2 payments at any time
    When 40 lookups are repeated there and each of them calls once
    Then at least 40 calls are charged as repeats
    And at most 40 calls are charged as repeats

  # Guards against charging calls while nothing is repeated.
  Scenario: Calls of requests that are no repeats aren't charged
    Given a backend server that runs 2 payments at any time
    When 40 lookups run there for the first time and each of them calls once
    Then at most 0 calls are charged as repeats
