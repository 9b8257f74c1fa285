Feature: Mesh policies under load and faults
  Which requests wait, which are refused and which instance gets the work. Each
  scenario tests one rule without a network, under the load or fault pattern
  that the rule is designed for.

  Scenario: Non-idempotent requests avoid an instance that hangs
    Given an instance whose requests usually take 100 ms
    When one request is unanswered after 400 ms
    Then the instance is suspect
    And non-idempotent requests prefer an instance with a longer queue

  Scenario: One lucky answer doesn't clear an instance that hangs
    Given an instance whose requests usually take 100 ms
    When one request has hung until it failed
    And 2500 ms later one request succeeds
    Then the instance is on probation
    When one more request succeeds
    Then the instance is clear

  Scenario: An instance that answers nothing gets a single trial request
    Given an instance whose requests usually take 100 ms
    When one request is unanswered after 400 ms
    Then a request that needs an answering instance is rejected while 1 others run
    When 2500 ms pass without an answer
    Then a request that needs an answering instance is rejected while 3 others run
    But a request that needs an answering instance is accepted while 0 others run

  Scenario: An instance on probation accepts waiting requests while it answers
    Given an instance whose requests usually take 100 ms
    When one request has hung until it failed
    And 2500 ms later one request succeeds
    Then the instance is on probation
    And a request that needs an answering instance is accepted while 3 others run
    When 700 ms pass without an answer
    Then a request that needs an answering instance is rejected while 3 others run

  Scenario: A late but successful answer clears the instance
    Given an instance whose requests usually take 100 ms
    When one request is unanswered after 400 ms
    And the late request succeeds
    Then the instance is clear

  Scenario: A near instance is preferred until it has no free slot
    Given a near and a far instance with 3 slots each
    When the near instance has 2 requests
    Then the near instance is chosen
    When the near instance has 3 requests
    Then the far instance is chosen

  Scenario: Requests that can't be served in time are declined on arrival
    Given an instance with 2 slots that are held for 300 ms each
    When 8 requests arrive that can wait for 400 ms
    Then those that can't get a slot in time are declined within 20 ms
    And the others get a slot within 450 ms

  Scenario: An urgent request isn't declined because less urgent ones are queued
    Given an instance with 2 slots that are held for 300 ms each
    When 8 requests of priority 2 wait
    And a request of priority 0 arrives that can wait for 400 ms
    Then it gets a slot within 400 ms

  Scenario Outline: The queue timeout of a request leaves time for its work
    When a request has <left> ms left, an objective of <objective> ms and usually takes <usual> ms
    Then its queue timeout is <timeout> ms

    Examples:
      | left | objective | usual | timeout |
      | 1200 | 400       | 120   | 400     |
      | 400  | 400       | 12    | 376     |
      | 1000 | 900       | 12    | 900     |
      | 4000 | 1500      | 640   | 1500    |
      | 2000 | 1500      | 640   | 720     |
      | 1000 | 400       | 5000  | 200     |
      | 700  | 400       | 640   | 1       |

  Scenario: The most urgent request gets the next slot
    Given an instance with 1 slots that are held for 50 ms each
    When requests of priority 2, 2, 0 and 1 wait
    Then they get their slots in the order 0, 1, 2, 2

  Scenario: A request that arrives just after a daemon's start waits briefly
    Given a daemon that started 50 ms ago and knows no peer
    When a request arrives and a peer becomes known 100 ms later
    Then the request continues once a peer is known

  # Guards against counting the daemon's own lateness as startup time.
  Scenario: A request waits although the start took long on scarce processors
    Given a daemon that was busy for the first 1200 ms of its start
    When a request arrives and a peer becomes known 100 ms later
    Then the request continues once a peer is known

  # Guards against a startup time that is over before peers can be found.
  Scenario: A request waits although the store was slow to answer
    Given a daemon that found its configuration 800 ms and its peers 1500 ms after its start
    When a request arrives and a peer becomes known 300 ms later
    Then the request continues once a peer is known

  Scenario: A request isn't delayed longer than its caller waits
    Given a daemon that started 50 ms ago and knows no peer
    And a caller that waits for 200 ms
    When a request arrives and no peer becomes known
    Then the request continues within 300 ms

  Scenario: A daemon that has run for a while delays no request
    Given a daemon that started 1500 ms ago and knows no peer
    When a request arrives and no peer becomes known
    Then the request continues within 20 ms

  Scenario: A request whose caller has disconnected is not delayed
    Given a daemon that started 50 ms ago and knows no peer
    When a request arrives whose caller has disconnected
    Then the request continues within 20 ms

  Scenario: Requests refused together are not retried together
    When 200 requests are refused with a wait of 300 ms and 3000 ms left
    Then none is retried before 300 ms or after 1000 ms
    And no 20 ms window has more than 40 retries

  Scenario Outline: A rate holds while <event>
    Given 10 daemons that share a rate of 20 per second and a burst of 20
    When every daemon requests 40 tokens per second and halfway through <event>
    Then no 5 second window grants more than the tolerance allows
    And at least 80 percent of the rate is granted from then on

    Examples:
      | event                                              |
      | nothing fails                                      |
      | the owner fails                                    |
      | 3 daemons are cut off                              |
      | all daemons restart                                |
      | half of the daemons lose the owner every 2 seconds |

  Scenario Outline: Repeats stay within the bound and use most of it
    Given a service with 70 requests per second
    When <calls> calls per second, half of them by repeats, and 40 failures per second arrive for 40 seconds
    Then no 10 second window has more repeats than the operators allow
    And some 10 second window has at least 3 in 4 of the allowed repeats

    Examples:
      | calls |
      | 0     |
      | 10    |
      | 20    |

  Scenario: A late heartbeat of an ended incarnation changes nothing
    Given an instance "i-1" started at 1000 that reports "ready" with sequence 5
    When "i-2" started at 2000 reports "ready" with sequence 1
    And "i-1" started at 1000 reports "ready" with sequence 6
    Then the known instance is "i-2" and "ready"

  Scenario: A late heartbeat doesn't bring back an instance that left
    Given an instance "i-1" started at 1000 that reports "ready" with sequence 5
    When "i-1" leaves
    And "i-1" started at 1000 reports "ready" with sequence 6
    Then the known instance is "i-1" and "draining"

  Scenario: An instance that restarts under the same id is accepted again
    Given an instance "i-1" started at 1000 that reports "ready" with sequence 50
    When "i-1" leaves
    And "i-1" started at 3000 reports "ready" with sequence 1
    Then the known instance is "i-1" and "ready"
