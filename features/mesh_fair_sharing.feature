Feature: Shares of an instance among customers
  With equal shares, the customers of one priority share the slots of an instance
  by virtual time, and the expected wait goes by the hold time of each route. The
  first scenarios run the gate's decisions in virtual time, without a network.

  # Guards against a large customer whose requests fill the queue, so that those
  # of all others are refused.
  Scenario: One hot customer of 70 at seven times its usual load
    Given an instance with 8 slots and customer shares "equal"
    When 69 customers send 10 requests per second together, and one large customer 14, for 60 s
    Then at least 99 in 100 requests of the other customers get a slot
    And the other customers wait 150 ms on average at most
    And the slots are at least 95 % in use

  # The order before equal shares, which stays the default.
  Scenario: Without shares, a hot customer of 70 delays the others as much as itself
    Given an instance with 8 slots and customer shares "none"
    When 69 customers send 10 requests per second together, and one large customer 14, for 60 s
    Then at most 85 in 100 requests of the other customers get a slot

  # Guards against lookups that time out behind reads with a far deadline.
  Scenario: Short work behind long work
    Given an instance with 4 slots and customer shares "equal"
    When one customer sends 9 lookups of 171 ms and 1 read of 2250 ms per second for 120 s
    Then at least 95 in 100 lookups get a slot
    And every read gets a slot

  # Guards against reads that starve because lookups always have less time left.
  Scenario: Long work behind short work
    Given an instance with 4 slots and customer shares "equal"
    When one customer sends 30 lookups of 171 ms and 1 read of 2250 ms per second for 120 s
    Then every read gets a slot
    And no read waits longer than 3500 ms

  # Guards against a credit for idle time, with which a customer would keep all
  # others out after a pause.
  Scenario: A customer returns after a pause
    Given an instance with 4 slots and customer shares "equal"
    When "steady" always has requests waiting, and "returning" has none for 30 s, then as many
    Then in the 10 s after the return, each of both gets between 45 and 55 in 100 slots

  # Guards against a debt for slots that nobody else wanted.
  Scenario: A customer that used an idle instance alone isn't held back later
    Given an instance with 4 slots and customer shares "equal"
    When "early" sends 8 requests per second alone for 30 s, then it and "late" always have requests waiting
    Then in the 10 s after the return, each of both gets between 45 and 55 in 100 slots

  # Guards against single requests that wait behind the queue of a large customer.
  Scenario: Many customers with one request each
    Given an instance with 4 slots and customer shares "equal"
    And 100 requests of one customer that wait, with hold times of 200 ms
    When 60 customers send one request each
    Then each of the 60 gets a slot within 3400 ms, in the order of arrival

  Scenario Outline: A customer with weight 3 gets three times the slots of one with weight 1
    Given an instance with <slots> slots and customer shares "equal"
    And customer "heavy" has weight 3
    When "heavy" and "light" always have requests waiting for 30 s
    Then "heavy" gets between 2.7 and 3.3 times the slots of "light"

    Examples:
      | slots |
      | 1     |
      | 4     |

  # Guards against a customer that passes without end, or never.
  Scenario Outline: A weight of <weight> in the configuration is ignored
    Then a customer with a weight of <weight> has no weight of its own

    Examples:
      | weight   |
      | 0        |
      | -1       |
      | NaN      |
      | Infinity |

  # Guards against refusals of requests that would have got a slot in time.
  Scenario Outline: The expected wait is not more than the real one with mixed routes
    Given an instance with <slots> slots and customer shares "<shares>"
    When lookups of 171 ms, bookings of 568 ms and reads of 2250 ms arrive at <load> % of its capacity
    Then no request waits less than expected on arrival

    Examples:
      | slots | shares | load |
      | 1     | none   | 95   |
      | 6     | none   | 95   |
      | 8     | none   | 120  |
      | 6     | equal  | 95   |
      | 8     | equal  | 120  |

  # Guards against an estimate that assumes each request runs for exactly its mean.
  Scenario Outline: The expected wait is not more than the real one on average with hold times that vary
    Given an instance with <slots> slots and customer shares "<shares>"
    And hold times that vary exponentially around the mean of their route
    When lookups of 171 ms, bookings of 568 ms and reads of 2250 ms arrive at <load> % of its capacity
    Then on average, requests wait at least as long as expected on arrival

    Examples:
      | slots | shares | load |
      | 1     | none   | 95   |
      | 6     | none   | 95   |
      | 8     | none   | 105  |
      | 6     | equal  | 95   |
      | 8     | equal  | 105  |

  # Guards against an estimate that takes requests which have just started to end
  # all at their mean: with hold times that vary, the first ends long before.
  Scenario: The expected wait behind requests that have just started, with hold times that vary
    Given an instance with 8 slots and customer shares "none"
    When a request arrives just after 8 bookings of 568 ms have started, 5000 times
    Then it is expected to wait at most 1.1 times as long as it does on average

  # Guards against one mean for all routes: lookups behind lookups were refused
  # while reads ran on the other slots.
  Scenario: The hold time of each route decides the expected wait
    Given an instance that holds lookups for 171 ms and reads for 2250 ms
    Then a route without samples is expected to hold a slot for the mean of all routes
    And 8 lookups ahead at 4 busy slots are a shorter wait than 8 reads ahead

  # Guards against callers that return at once while all slots hang, because the
  # running requests should have ended long ago.
  Scenario: A refused request is told a usual wait while all requests are late
    Given an instance with 4 slots and customer shares "none"
    When 4 bookings of 568 ms have run for 3000 ms, and 8 requests wait
    Then a refused request gets a wait of 1278 ms
    And the estimate that decides refusals is 1136 ms

  Scenario Outline: In any sequence of arrivals and slots, <rule>
    Then in any sequence, <rule>

    Examples:
      | rule                                                                |
      | the most urgent priority goes first                                 |
      | requests are served by priority and age without shares              |
      | backlogged customers get their shares within one request            |
      | no request waits for more than its part of the others               |
      | a request that has waited for the bound goes before later ones      |
      | the requests expected ahead are those that are served before        |
      | a withdrawn request is never served, and costs its customer nothing |

  # Guards against slots that stay free while requests wait.
  Scenario Outline: No request waits while a slot is free with customer shares "<shares>"
    Then with customer shares "<shares>", any sequence of arrivals, releases and withdrawals leaves no slot free while requests wait

    Examples:
      | shares |
      | equal  |
      | none   |

  # Guards against a customer that pays for requests it has withdrawn, or that got
  # their slots at other gates.
  Scenario: Withdrawn requests cost their customer nothing
    Given a gate with customer shares "equal" and 1 busy slot
    When a customer withdraws 20 of 25 requests, and another sends 5
    Then both get slots in turn

  # Guards against a pacer that serves turns by age while the instance names a limit.
  Scenario: Customers also share the turns within a rate limit
    Given a gate with customer shares "equal" whose instance names a limit of 50 per second
    When a customer has 30 requests waiting and another sends one
    Then that one gets a slot among the first 3
