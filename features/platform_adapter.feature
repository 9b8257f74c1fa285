Feature: The adapter to the users' platform
  Decodes the platform's documents and heartbeats into the product's types, and
  keeps the configuration and the list of daemons during faults of the store.

  Scenario: A configuration document is decoded into the product's types
    When the document of version "0000000c" is decoded
    Then version 12 has a route that may be repeated and one that may not
    And the split route has two services with weights 90 and 10

  # Guards against a document that is rejected, so that no daemon of the fleet
  # becomes ready, because one of its routes has large responses.
  Scenario Outline: Requests of kind "<kind>" <may> be repeated
    When a document whose first route has kind "<kind>" is decoded
    Then requests on its first route <may> be repeated

    Examples:
      | kind     | may     |
      | safe     | may     |
      | unsafe   | may not |
      | upload   | may not |
      | download | may     |

  Scenario Outline: An invalid document is rejected as a whole
    When the document is decoded with <fault>
    Then it is rejected, and the reason names "<place>"

    Examples:
      | fault                      | place      |
      | a prefix without end slash | PathPrefix |
      | an unknown kind            | Kind       |
      | a negative rate            | RatePerS   |
      | no resources               | Resources  |
      | half of its text           | op/config  |

  Scenario Outline: An invalid heartbeat is rejected
    When a heartbeat is decoded with <fault>
    Then it is rejected, and the reason names "<place>"

    Examples:
      | fault                  | place       |
      | an unknown state       | State       |
      | slots as text          | Concurrency |
      | no sequence            | Sequence    |
      | bytes that aren't JSON | JSON        |

  Scenario: A change reaches the daemon through the watch
    Given the platform's store with version 1
    And a daemon that follows the store
    When the operators write version 2
    Then version 2 is in force within 1000 ms

  Scenario: A change made when the history is dropped comes into force
    Given the platform's store with version 1
    And a daemon that follows the store
    When the store drops its history and the operators write version 2
    Then version 2 is in force within 1000 ms

  Scenario: A store that drops its history is read again once
    Given the platform's store with version 1
    And a daemon that follows the store
    When the store drops its history
    Then the log has one dropped history
    And the store gets no more than 3 reads in 1000 ms

  Scenario: A daemon follows the store again after an outage, which is logged once
    Given the platform's store with version 1
    And a daemon that follows the store
    When the store is unavailable for 1500 ms
    And the operators write version 2
    Then version 2 is in force within 2500 ms
    And the log has one loss and one recovery of the store

  Scenario: A store that did not answer and lost its watches is read again
    Given the platform's store with version 1
    And a daemon that follows the store
    When the store does not answer for 5000 ms and loses its watches
    And the operators write version 2
    Then version 2 is in force within 3000 ms

  Scenario: An invalid document leaves the last valid one in force
    Given the platform's store with version 1
    And a daemon that follows the store
    When the operators write a truncated document
    And the operators write version 3
    Then version 3 is in force within 1000 ms
    And the log has one rejected configuration

  # Guards against a cost for the store that grows with the time until the
  # operators write a configuration, and with the size of the fleet.
  Scenario: A daemon makes few calls to the store when it starts
    Given the platform's store without a configuration
    When a daemon has followed the store for 2500 ms
    And the operators write version 1
    Then version 1 is in force within 1000 ms
    And the calls to the store were 1 lease, 1 write, 1 read and 2 watches of the configuration, and 1 list that is not stale

  Scenario: Of two daemons that register, the later one finds the earlier
    Given the platform's store with version 1
    When 6 daemons register at the same time
    Then of each two of them one finds the other within 1000 ms

  Scenario: A daemon that withdraws isn't listed again
    Given the platform's store with version 1
    And a daemon that is listed
    When it withdraws
    Then it is not listed when its next renewal is due

  Scenario: A daemon whose lease expires is listed again
    Given the platform's store with version 1
    And a daemon that is listed
    When its lease expires
    Then the daemon is listed again within 5000 ms
