Feature: Calls between daemons that are late
  After a pause, or on scarce processors, the event loop of a daemon runs its
  timers before it reads what has arrived meanwhile.

  Background:
    Given a daemon with a link to another one

  # Guards against refusals because a daemon was late to read a reply.
  Scenario: A call is answered although the caller was late
    When it makes a call with a time-out of 300 ms and is then busy for 500 ms
    Then the call is answered

  Scenario: A call that gets no reply fails
    Given the other daemon answers no calls
    When it makes a call with a time-out of 300 ms
    Then the call fails with "no reply in time" within 1000 ms
