Feature: Evacuations in the platform's store
  Operators write op/evacuate/ZONE to evacuate a failure domain, and remove the
  key to revert that. A daemon reads and watches the keys with the configuration.

  Background:
    Given the platform's store with version 1

  Scenario: An evacuation and its end reach the daemon through the watch
    Given a daemon that follows evacuations
    When the operators evacuate "a"
    Then the daemon knows the evacuations "a" within 1000 ms
    When the operators evacuate "b"
    And the operators write version 2
    And the operators revert the evacuation of "a"
    Then the daemon knows the evacuations "b" within 1000 ms
    And version 2 is in force within 1000 ms

  # Guards against a daemon that forwards requests before it knows evacuations.
  Scenario: A daemon knows the evacuations as soon as it has a configuration
    Given the operators evacuate "a"
    And a daemon that follows evacuations
    Then the daemon knows the evacuations "a" within 1000 ms
    And no configuration was in force before the evacuations were known

  # Guards against domains that are missed because the range has several pages.
  Scenario: Evacuations are read in pages
    Given the operators evacuate "a"
    And the operators evacuate "b"
    And the operators evacuate "c"
    And the store sends 1 item per page
    When a daemon that follows evacuations
    Then the daemon knows the evacuations "a b c" within 1000 ms
    And version 1 is in force within 1000 ms

  # Guards against a change between two pages that no page and no event shows.
  Scenario Outline: A domain that is <changed> between two pages is known right
    Given the operators evacuate "b"
    And the operators evacuate "c"
    And the store sends 1 item per page
    And after the second page the operators <change>
    When a daemon that follows evacuations
    Then the daemon knows the evacuations "<known>" within 1000 ms

    Examples:
      | changed  | change                       | known |
      | reverted | revert the evacuation of "b" | c     |
      | added    | evacuate "a"                 | a b c |

  # Guards against an evacuation that lasts because its end was never reported.
  Scenario Outline: An evacuation ends although its removal isn't reported, when <what>
    Given the operators evacuate "a"
    And a daemon that follows evacuations
    And the daemon knows the evacuations "a" within 1000 ms
    When the evacuation of "a" is reverted while <what>
    Then the daemon knows the evacuations "" within 3000 ms

    Examples:
      | what                          |
      | the history is dropped        |
      | the store is unavailable      |
      | the store returns from a copy |

  # Guards against a domain that gets requests again since the store is away.
  Scenario: The last known evacuations stay in force while the store is unavailable
    Given the operators evacuate "a"
    And a daemon that follows evacuations
    And the daemon knows the evacuations "a" within 1000 ms
    When the store is unavailable for 1500 ms
    Then the daemon has known the evacuations "a" all the time

  # Guards against more load on the store: the range replaces the single key.
  Scenario: Following evacuations takes no more calls than the configuration alone
    Given the operators evacuate "a"
    And a daemon that follows evacuations
    When 2500 ms pass without a change
    Then the store got 1 read and 1 watch of "op/", and none of "op/config"

  # Guards against new calls without the setting.
  Scenario: Without the setting the daemon reads and watches only the configuration
    Given the operators evacuate "a"
    And a daemon that follows the store
    When 1500 ms pass without a change
    Then the store got 1 read and 1 watch of "op/config", and none of "op/"

  Scenario Outline: The key <key> evacuates nothing
    Given a daemon that follows evacuations
    When the operators write the key "<key>"
    And the operators write version 2
    Then version 2 is in force within 1000 ms
    And the daemon knows the evacuations "" within 0 ms

    Examples:
      | key           |
      | op/evacuate/  |
      | op/evacuate   |
      | op/evacuated/a |
      | op/other      |

  # Guards against a daemon that sends requests to its own instance although the
  # domain was evacuated before the daemon was started.
  Scenario Outline: A daemon that starts in an evacuated domain <does>
    Given the operators evacuate "a"
    And the settings have evacuation <setting>
    And the process of a mesh daemon whose instance takes 1 ms
    When a caller sends one request
    Then the caller gets status <status>, and the instance got <seen> requests

    Examples:
      | does                                    | setting          | status | seen |
      | sends its instance nothing              | {"applyMs":5000} | 503    | 0    |
      | sends its instance requests, if not set | null             | 200    | 1    |

  Scenario Outline: Settings with evacuation <value> are rejected
    When settings with evacuation <value> are checked
    Then they are rejected, and the reason names "<path>"

    Examples:
      | value           | path               |
      | {"applyMs":0}   | evacuation.applyMs |
      | {"applyMs":"5"} | evacuation.applyMs |
      | {}              | evacuation.applyMs |
