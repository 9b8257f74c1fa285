Feature: Hedged requests stay within the limit that operators set
  A slow idempotent request may be sent to a second instance. The scenarios run
  without a network; each names the load that it answers.

  Rule: The slowest responses get shorter, and the extra work stays bounded

    # Guards against hedging that doesn't help the requests at a slow instance.
    Scenario: One instance is slow among many
      Given a router with 10 instances and hedges for 10 % of the requests, from the 0.95 quantile
      When 60 requests per second arrive for 60 seconds, with 100 ms of work, and 2000 ms at one instance
      Then 99.5 % of the later half of the requests take at most 800 ms
      And no window has more hedges than the limit
      And some hedges have won, and each has won or lost

    # Guards against a test above that would also pass without hedges.
    Scenario: One instance is slow among many and no hedge is allowed
      Given a router with 10 instances and hedges for 0 % of the requests, from the 0.95 quantile
      When 60 requests per second arrive for 60 seconds, with 100 ms of work, and 2000 ms at one instance
      Then fewer than 99.5 % of the later half of the requests take at most 800 ms
      And no hedge was sent

    # Guards against doubled load when slowness has a common cause.
    Scenario: All instances are slow at once
      Given a router with 10 instances and hedges for 5 % of the requests, from the 0.95 quantile
      When 40 requests per second arrive for 20 seconds, with 100 ms of work
      And 40 requests per second arrive for 20 seconds, with 800 ms of work
      Then no window has more hedges than the limit
      And hedges were refused for the reason "limit"

    # Guards against hedges that take the slots which waiting requests need.
    Scenario: A burst fills the slots
      Given a router with 10 instances and hedges for 100 % of the requests, from the 0.5 quantile
      When 40 requests per second arrive for 10 seconds, with 100 ms of work
      And 600 requests per second arrive for 5 seconds, with 150 ms of work
      Then no hedge was sent while 70 % of the slots were in use
      And hedges were refused for the reason "full"
      And no window has more hedges than the limit

    # Guards against hedges that ask a used-up budget again and again.
    Scenario: The retry budget is used up
      Given a router with 10 instances and hedges for 10 % of the requests, from the 0.95 quantile
      And the retry budget is used up
      When 60 requests per second arrive for 20 seconds, with 100 ms of work, and 2000 ms at one instance
      Then no hedge was sent
      And the retry budget was asked at most once per second
      And hedges were refused for the reason "budget"

  Rule: What counts as slow

    # Guards against hedges on the evidence of a handful of responses.
    Scenario: Too few samples
      Given a policy for the 0.95 quantile
      When 39 responses take 50 ms
      Then a request is slow after the gate's estimate
      When 1 responses take 50 ms
      Then a request is slow after 50 to 55 ms

    # Guards against a threshold that stays where a route's times once were.
    Scenario: A route whose times shift
      Given a policy for the 0.95 quantile
      When 300 responses take 100 ms
      Then a request is slow after 100 to 110 ms
      When 40 responses take 400 ms
      Then a request is slow after 400 to 440 ms
      When 300 responses take 100 ms
      Then a request is slow after 100 to 110 ms

    # Guards against decisions by what was measured long before.
    Scenario: A route without requests for a while
      Given a policy for the 0.95 quantile
      When 300 responses take 100 ms
      And 11 minutes pass
      Then a request is slow after the gate's estimate

    Scenario Outline: A slow request is refused a hedge <when>
      Given a policy for the 0.95 quantile
      When 300 responses take 100 ms
      Then a hedge is refused for the reason "<reason>" <when>

      Examples:
        | when                                        | reason      |
        | for a request that may run once only        | once        |
        | for a quarantined request                   | quarantined |
        | with less time left than the route takes    | time        |
        | when 70 % of the slots are in use           | full        |
        | when no other instance has a free slot      | full        |
        | when the retry budget has refused a repeat  | budget      |
        | when as many hedges are starting as allowed | limit       |

  Rule: Whatever happens

    Scenario: In no window are there more hedges than the share and the burst
      Then for any order of requests and hedges, the limit holds in every window

    Scenario: A request that isn't idempotent is never hedged
      Then for any load and history, no hedge is granted to such a request

  Rule: How requests are dispatched

    # Guards against a response that waits for the search of a slot.
    Scenario: A response arrives while a hedge is being started
      Given a first instance that responds after 300 ms and gates that take 900 ms to reserve a slot for a hedge
      When an idempotent request is dispatched with hedging
      Then it is answered by the first instance within 800 ms
      And the second instance ran nothing, and its slot was released
      And the search for its slot was withdrawn

    # Guards against two starts that share a token: one leaks, the other isn't
    # charged, and a slot stays reserved.
    Scenario Outline: A hedge starts while a withdrawn one still waits for the retry budget
      Given a first instance that fails after 300 ms and gates that take 0 ms to reserve a slot for a hedge
      And a third gate, and a retry budget that takes <first> ms for the first hedge and <next> ms for the next
      When an idempotent request is dispatched with hedging
      Then one hedge was sent, and the slot of the other was released
      And the limit has 2 tokens left, and 3 after a further request

      Examples:
        | first | next |
        | 800   | 0    |
        | 500   | 700  |

    Scenario: A slow request is answered by the hedge, and the slow run is cancelled
      Given a first instance that responds after 5000 ms and gates that take 0 ms to reserve a slot for a hedge
      When an idempotent request is dispatched with hedging
      Then it is answered by the second instance within 2000 ms
      And the run at the first instance was cancelled

    # Guards against hedging rules that take repeats from failed requests.
    Scenario: A request fails and no hedge is allowed
      Given a first instance that fails after 5 ms and gates that take 0 ms to reserve a slot for a hedge
      And no hedge is allowed
      When an idempotent request is dispatched with hedging
      Then it is answered by the second instance within 2000 ms

    Scenario: A slow request may run once only
      Given a first instance that responds after 200 ms and gates that take 0 ms to reserve a slot for a hedge
      When a non-idempotent request is dispatched with hedging
      Then it is answered by the first instance within 1000 ms
      And the second instance ran nothing

    Scenario: The caller disconnects before the request is slow
      Given a first instance that responds after 5000 ms and gates that take 0 ms to reserve a slot for a hedge
      When an idempotent request is dispatched with hedging and its caller disconnects after 10 ms
      Then the second instance ran nothing

    # Guards against hedges that use up the tokens of repeats after failures.
    Scenario: A hedge leaves tokens of the retry budget to repeats after failures
      Given 4 tokens in the retry budget
      Then 1 hedge gets a token, and 3 repeats after failures

    # Guards against a daemon of an earlier version that can't read the request
    # for a token.
    Scenario: A request for a token with spare tokens keeps the known fields
      When a request for a token that leaves 3 tokens is sent to a peer
      Then the peer reads the service, the lots and what was spent
