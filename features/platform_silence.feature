Feature: Connections to the store that go silent
  Open connections may stop carrying bytes without a reset, while new ones work.

  # Guards against a change that no daemon applies, because its watch waits on a
  # connection that went silent.
  Scenario Outline: A change is in force although the connections went silent <moment>
    Given the platform's store with version 1, reached through a relay
    And 3 daemons that follow the store, of which none can ask another
    When the connections go silent <moment>
    And the operators write version 2 1000 ms later
    Then version 2 is in force on all of them 3000 ms after the silence
    And none of them read the configuration more than 3 times

    Examples:
      | moment                   |
      | right after a renewal    |
      | right before a renewal   |
      | right before a list      |
      | between two calls        |

  # Guards against connections that are closed although they work.
  Scenario: A store that answers late keeps its connections
    Given the platform's store with version 1
    And a daemon that follows the store and is listed
    When the store answers 700 ms late for 6000 ms
    Then the log has no silent store
    When the operators write version 2
    Then version 2 is in force within 1000 ms

  # Guards against a slow store that gets every call twice, each on a connection
  # of its own.
  Scenario: Calls to a store that answers late are not repeated for long
    Given the platform's store with version 1
    And a daemon that follows the store and is listed
    When it has renewed its lease
    And the store answers 700 ms late for 12000 ms
    Then at most 2 of at least 5 renewals and lists were sent twice

  # Guards against daemons that start together, load the store, and then load it
  # twice as much.
  Scenario: A daemon that starts reads from a slow store once
    Given the platform's store with version 1
    And the store answers 700 ms late from now on
    When a daemon has followed the store for 5000 ms
    Then the calls to the store were 1 lease, 1 write, 1 read and 1 watches of the configuration, and 2 list that is not stale
