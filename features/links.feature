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

  # Guards against closing all links after a pause.
  Scenario: A link outlives a pause of the process
    When it is paused for 6000 ms and makes a call as it resumes
    Then the call is answered

  Scenario: A link over which nothing comes back is opened anew
    Given the other daemon answers no calls
    When it makes calls for 7 seconds
    Then it has opened a new link

  Scenario: A call may take long on a link that nothing else uses
    Given the other daemon answers calls after 6 seconds
    When it makes a call with a time-out of 8000 ms
    Then the call is answered
    And it has opened no new link

  # Guards against calls that fail because the link couldn't open in time.
  Scenario: A link opens although the caller was late
    Given the link is closed
    When it makes a call with a time-out of 4000 ms and is then busy for 2200 ms
    Then the call is answered
