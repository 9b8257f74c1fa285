Feature: Log lines and a slow reader
  Writing a log line never waits, and what waits for a reader is bounded.

  # Guards against a daemon that waits for, or fills its memory because of, a
  # reader of its log.
  Scenario: A reader that never reads costs log lines, not time or memory
    Given a log whose reader takes nothing
    When 5000 lines of 1000 characters are written
    Then at most 300000 characters wait
    When the reader reads again
    Then a line tells how many lines were dropped

  # Guards against refusals without a line since ordinary lines had filled
  # what waits for the reader.
  Scenario: Refusals have their lines though ordinary ones came first
    Given a log whose reader takes nothing
    When 40 ordinary lines of 10000 characters are logged
    And 150 requests are refused
    And the reader reads again
    Then each refused request has a line with its reason
    And a line tells how many lines were dropped
