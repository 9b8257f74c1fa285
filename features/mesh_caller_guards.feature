Feature: Guards for callers on one server
  A server with the guards of a daemon and short limits.

  # Guards against a body that escapes every limit because an earlier request of
  # the same packet ended after the body began.
  Scenario: A request and an unfinished body come in one packet
    Given a guarded server
    When a caller sends at once: a request and an unfinished body
    Then the caller reads "stalled", and its connection is closed
    And no bytes of the budget are in use
