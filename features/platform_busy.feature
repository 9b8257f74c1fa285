Feature: A store whose answers come at once
  A daemon waits between calls that bring nothing, so that no answer of the
  store can keep it busy.

  # Guards against a daemon that never waits, because a store answers each watch
  # at once.
  Scenario: A watch that ends without a change isn't repeated at once
    Given the platform's store with version 1
    And a daemon that follows the store and is listed
    When the store answers every watch at once
    Then the daemon calls it at most 20 times in 1000 ms
    When the operators write version 2
    Then version 2 is in force within 1000 ms

  # Guards against a daemon that never waits, because a store reports the same
  # change again and again, and says that each page of a list isn't the last.
  Scenario: Answers that repeat themselves aren't asked for at once
    Given the platform's store with version 1
    And a daemon that follows the store and is listed
    When the store repeats its answers
    And the list is due
    Then the daemon calls it at most 20 times in 1000 ms
    When the store repeats its answers no more
    And the operators write version 2
    Then version 2 is in force within 1000 ms

  # Guards against daemons that call a store that refuses them as often after
  # many failures as after the first one.
  Scenario: A store that is unavailable gets fewer calls with time
    Given the platform's store with version 1
    And a daemon that follows the store and is listed
    When the store is unavailable, and 3000 ms have passed
    Then the daemon calls it at most 37 times in 12000 ms
