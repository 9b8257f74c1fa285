Feature: Input from the platform is decoded or rejected
  Documents with one value changed, generated from a fixed seed.

  # Guards against a document that stops the daemon, or that brings values into
  # force that are out of range for a timer or a limit.
  Scenario: Configuration documents with a value changed
    When 2000 configuration documents with a value changed are decoded
    Then each is decoded into values in range, or rejected with a reason

  # Guards against heartbeats that stop the daemon.
  Scenario: Heartbeats with a value changed
    When 2000 heartbeats with a value changed are decoded
    Then each is decoded into values in range, or rejected with a reason
