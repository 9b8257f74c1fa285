Feature: The adapter to the users' platform
  Decodes what the platform says into the product's types, once, and keeps the
  configuration and the list of daemons through the store's troubles.

  Scenario: A configuration document becomes the product's configuration
    When the document of version "0000000c" is decoded
    Then version 12 has a route that may be repeated and one that may run once
    And the split route has two services with weights 90 and 10

  Scenario Outline: A document with a fault is refused as a whole
    When the document is decoded with <fault>
    Then it is refused, and the reason names "<place>"

    Examples:
      | fault               | place      |
      | a bare prefix       | PathPrefix |
      | an unknown kind     | Kind       |
      | a negative rate     | RatePerS   |
      | no resources        | Resources  |
      | half of its text    | op/config  |

  Scenario Outline: A heartbeat with a fault is refused
    When a heartbeat comes with <fault>
    Then it is refused, and the reason names "<place>"

    Examples:
      | fault               | place       |
      | a state unknown     | State       |
      | slots as text       | Concurrency |
      | no sequence         | Sequence    |
      | bytes that are no JSON | JSON     |

  Scenario: A change reaches the daemon by the watch
    Given the platform's store with version 1
    And a daemon that follows the store
    When the operators write version 2
    Then version 2 is in force within 1000 ms

  Scenario: A change made while the history is dropped is still found
    Given the platform's store with version 1
    And a daemon that follows the store
    When the store drops its history and the operators write version 2
    Then version 2 is in force within 1000 ms

  Scenario: A store that drops its history is read anew once
    Given the platform's store with version 1
    And a daemon that follows the store
    When the store drops its history
    Then the log tells one dropped history
    And the store gets no more than 3 reads in 1000 ms

  Scenario: An outage of the store is survived, and told once
    Given the platform's store with version 1
    And a daemon that follows the store
    When the store is away for 1500 ms
    And the operators write version 2
    Then version 2 is in force within 2500 ms
    And the log tells one loss and one return of the store

  Scenario: A store that was silent and forgot its watches is read anew
    Given the platform's store with version 1
    And a daemon that follows the store
    When the store is silent for 5000 ms and forgets who waits
    And the operators write version 2
    Then version 2 is in force within 3000 ms

  Scenario: A faulty document leaves the last good one in force
    Given the platform's store with version 1
    And a daemon that follows the store
    When the operators write a document that is cut short
    And the operators write version 3
    Then version 3 is in force within 1000 ms
    And the log tells one refused configuration

  Scenario: A daemon that leaves isn't listed again
    Given the platform's store with version 1
    And a daemon that is listed
    When it leaves
    Then it is not listed when its next renewal is due

  Scenario: A lapsed lease lists the daemon again
    Given the platform's store with version 1
    And a daemon that is listed
    When its lease lapses
    Then the daemon is listed again within 5000 ms
