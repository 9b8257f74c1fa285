Feature: Cold instances on the platform
  A service's record has WarmupS and ColdPerS; heartbeats and the health path tell
  how long an instance stays cold.

  Scenario Outline: The limits of cold instances are decoded
    When a document whose service has <fields> is decoded
    Then its cold limits are <warmupMs> ms and <perS> per second

    Examples:
      | fields                      | warmupMs | perS |
      | "WarmupS":20,"ColdPerS":9.8 | 20000    | 9.8  |
      | "ColdPerS":3                | 0        | 3    |
      | "Other":1                   | 0        | 0    |

  # Guards against limits that are in force though they have no meaning.
  Scenario Outline: A document whose service has <fields> is rejected
    When a document whose service has <fields> is decoded
    Then it is rejected, and the reason names "<field>"

    Examples:
      | fields          | field    |
      | "WarmupS":-1    | WarmupS  |
      | "ColdPerS":-0.1 | ColdPerS |
      | "ColdPerS":"3"  | ColdPerS |

  # Guards against a gate that restarts beside a cold instance and sends it the
  # usual load until the next heartbeat.
  Scenario Outline: A restarted daemon paces if the health path names "<remaining>"
    Given the platform's store with version 1
    And the operators write a version 2 with "WarmupS":20,"ColdPerS":5.5
    And the instance's health path names a remaining warm-up of "<remaining>"
    When the process of a mesh daemon whose instance takes 1 ms
    Then the process exports a cold limit of "<limit>" within 2000 ms

    Examples:
      | remaining | limit |
      | 20000     | 5.5   |
      | 0         | none  |
      # Not a report: the instance may be cold.
      | soon      | 5.5   |
      | -5        | 5.5   |
      |           | 5.5   |
