Feature: Log lines and a slow reader
  Writing a log line never waits, and what waits for a reader is bounded.

  Scenario: A reader that never reads costs log lines, not time or memory
    Given a log whose reader takes nothing
    When 5000 lines of 1000 characters are written
    Then at most 300000 characters wait
    When the reader reads again
    Then a line tells how many lines were dropped
