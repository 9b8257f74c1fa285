Feature: Customer shares in a fleet, and beside daemons of other builds
  Routers tell gates the customer of a request that waits. Daemons without this
  field run beside the others during an update.

  # Guards against a hot customer whose requests keep out all others.
  Scenario: A quiet customer is served while a hot one fills all queues
    Given a mesh fleet of 2 VMs with 2 slots each and customer shares "equal, equal"
    And every backend server responds slowly
    When "hot" sends 40 requests, and 300 ms later "quiet" sends 4
    Then all requests of "quiet" are served within 3500 ms
    And at least 14 requests of "hot" are served
    And the log tells how long a request of "quiet" waited
    And the metrics show waits by priority, but no customer

  # Guards against requests of routers that send no customer and never get a slot.
  Scenario Outline: Requests of a daemon without shares are served beside others with shares
    Given a mesh fleet of 2 VMs with 2 slots each and customer shares "<shares>"
    And every backend server responds slowly
    When "quiet" sends 8 requests
    Then all requests of "quiet" are served within 3500 ms

    Examples:
      | shares      |
      | equal, none |
      | none, equal |
      | none, none  |

  # Guards against a daemon that can't read the frames of the build before shares.
  Scenario: A peer of the build before shares gets slots at a gate with shares
    Given a mesh fleet of 1 VMs with 2 slots each and customer shares "equal"
    And every backend server responds slowly
    When a peer of the build before shares reserves 4 slots and runs a request in each
    Then the backend server ran each of the 4 requests, and the peer could read the outcomes

  # Guards against frames that the build before shares can't read.
  Scenario: A reservation with a customer is read by the build before shares
    When a reservation with a customer is encoded
    Then the build before shares reads it, with a field that it skips

  Scenario: A reservation without a customer is sent as before
    When a reservation without a customer is encoded
    Then its bytes are those of the build before shares

  # Guards against budgets that lose tokens or charges beside the build before the
  # reserve for calls.
  Scenario Outline: A payment <kind> is read by the build before shares
    When a payment <kind> is encoded
    Then the build before shares reads its tokens and charges
    And it is decoded to the same payment

    Examples:
      | kind                    |
      | for a call              |
      | of a service with calls |
      | without calls           |

  # Guards against a customer that is trusted though it is none.
  Scenario Outline: A peer that names <fault> as customer is served as one without
    Given a mesh fleet of 1 VMs with 2 slots each and customer shares "equal"
    When a peer reserves 2 slots with <fault> as customer
    Then both are granted, and the log tells once that the customer is invalid

    Examples:
      | fault          |
      | a number       |
      | an empty name  |
      | a name of 2 MB |
