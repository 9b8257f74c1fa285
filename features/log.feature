Feature: Log lines and a slow reader
  Writing a log line never blocks, and the buffer for a slow reader is bounded.

  # Guards against a daemon that blocks, or whose memory grows, when the reader
  # of its log stops reading.
  Scenario: A blocked reader causes lost lines but no delay or memory growth
    Given a log whose reader is blocked
    When 5000 lines of 1000 characters are written
    Then at most 300000 characters are buffered
    When the reader resumes
    Then a line reports the number of dropped lines

  # Guards against refusals whose lines are dropped because ordinary lines have
  # filled the buffer.
  Scenario: Refusals are logged although ordinary lines came first
    Given a log whose reader is blocked
    When 40 ordinary lines of 10000 characters are logged
    And 150 requests are refused
    And the reader resumes
    Then each refused request has a line with its reason
    And a line reports the number of dropped lines
