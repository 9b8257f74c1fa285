Feature: Evacuation of a failure domain
  No request reaches an instance of an evacuated domain: routers leave its gates
  out, and its gates decline what still comes.

  Background:
    Given the VMs are in the failure domains "a a b b c c", which can be evacuated

  # Guards against requests that a restarted daemon forwards before it knows
  # which domains are evacuated.
  Scenario: A daemon forwards nothing before it knows the evacuations
    Given a mesh fleet of 6 VMs with 2 slots each
    When callers send 6 requests to "/once/", spread over all VMs
    Then every response has status 503
    And no instance got a request
    When no domain is evacuated
    And callers send 60 requests to "/once/", spread over all VMs
    Then every response has status 200

  Scenario Outline: Requests avoid an evacuated domain, if <who> knows of it
    Given a mesh fleet of 6 VMs with 2 slots each
    And no domain is evacuated
    When domain "a" is evacuated, as <who> knows
    And callers send 60 requests to "<path>", spread over all VMs
    Then every response has status 200
    And the instances of domain "a" got no request

    Examples:
      | who                      | path         |
      | every daemon             | /once/       |
      | every daemon             | /repeatable/ |
      # Routers of old daemons never know.
      | every daemon of domain a | /once/       |
      | every daemon of domain a | /repeatable/ |
      # The others are late.
      | the first daemon         | /once/       |

  # Guards against a burst of refusals of requests that wait at gates of the
  # domain. Load: two thirds of the slots that remain.
  Scenario: An evacuation under load refuses no request
    Given a mesh fleet of 6 VMs with 4 slots each
    And no domain is evacuated
    And every backend server responds slowly
    When domain "a" is evacuated after 2000 ms of 17 requests per second to "/long/"
    Then every one of these requests was served
    And the instances of domain "a" got no request later than 50 ms after it

  # Guards against the refusal of requests all of whose queues are at gates of the
  # domain. Load: half as many requests again as there are slots.
  Scenario: Requests that wait only in the domain are served elsewhere
    Given the VMs are in the failure domains "a a a a b b b b", which can be evacuated
    And a mesh fleet of 8 VMs with 1 slots each
    And no domain is evacuated
    And every backend server responds slowly
    When 12 requests to "/long/" arrive at domain "a", which is evacuated 200 ms later
    Then every one of these requests was served
    And the instances of domain "a" got no request later than 50 ms after it

  Scenario: Requests are refused if every instance is in an evacuated domain
    Given a mesh fleet of 6 VMs with 2 slots each
    When domain "a b c" is evacuated, as every daemon knows
    And callers send 6 requests to "/once/", spread over all VMs
    Then each is refused as "no-instance", not run

  Scenario: An evacuation that is reverted brings the instances back
    Given a mesh fleet of 6 VMs with 2 slots each
    And domain "a" is evacuated, as every daemon knows
    When no domain is evacuated
    And callers send 60 requests to "/once/", spread over all VMs
    Then every response has status 200
    And the instances of domain "a" got some requests

  # Guards against a restarted daemon without a store, which would send requests
  # to a domain that its peers know to be evacuated.
  Scenario: A daemon that can't reach the store learns evacuations from a peer
    Given a mesh fleet of 6 VMs with 2 slots each
    And domain "a" is evacuated, as every daemon but the last knows
    When the last daemon gets its configuration from a peer
    Then it knows the evacuated domains "a"

  # Guards against a gate that stays closed until the store is back, because the
  # first peer that reported the version knew no evacuations.
  Scenario: A daemon asks a further peer if the first one knows no evacuations
    Given a mesh fleet of 6 VMs with 2 slots each
    And domain "a" is evacuated, as every daemon of domain a knows
    When the last daemon gets its configuration from a peer outside the domain "a"
    And the daemons of domain "a" report the same version
    Then the last daemon learns the evacuated domains "a" within 9000 ms

  # Guards against a reservation that was made before the evacuation and reaches
  # the instance after it.
  Scenario: A reservation that was made earlier isn't used any more
    Given a gate with 1 slot
    And a slot is reserved
    When its domain is evacuated
    Then the reservation's request is not run as "evacuated"
    And a reservation is declined as "evacuated"

  # Guards against requests that wait at the gate until their time is over.
  Scenario: Requests that wait for a slot are sent elsewhere at once
    Given a gate with 1 slot
    And a slot is reserved
    And a request waits for a slot
    When its domain is evacuated
    Then the waiting request is declined as "evacuated" within 50 ms

  # Guards against an interrupted request.
  Scenario: A request in progress is finished
    Given a gate with 1 slot
    And a request is in progress
    When its domain is evacuated
    Then the request in progress ends with a response

  # Guards against an instance that became cold while it was evacuated and gets
  # the usual load at once.
  Scenario: After an evacuation the instance counts as cold until it reports
    Given a gate with 1 slot
    And its service has WarmupS 20 and ColdPerS 10
    When its domain is evacuated
    And its evacuation is reverted
    Then the gate paces requests
    When its instance sends a heartbeat
    Then the gate paces no requests

  # Guards against names from a peer that are trusted without a check, and
  # against a peer that replaces what the store said.
  Scenario Outline: What a peer says of evacuations counts only if it is valid
    Given a daemon that knows no evacuations
    When a peer sends it the evacuated domains <list>
    Then it knows the evacuated domains <known>

    Examples:
      | list      | known   |
      | ["a","b"] | "a b"   |
      | []        | ""      |
      | [1]       | unknown |
      | "a"       | unknown |
      | null      | unknown |

  Scenario: What a peer says doesn't replace what the store said
    Given a daemon that knows no evacuations
    And the store evacuates "b"
    When a peer sends it the evacuated domains ["a"]
    Then it knows the evacuated domains "b"
