Feature: Whatever the platform says is decoded or refused
  Documents with one value changed, made from a fixed seed.

  # Guards against a document that stops the daemon or puts values in force
  # that no timer or limit can bear.
  Scenario: Configuration documents with a value changed
    When 2000 configuration documents with a value changed are decoded
    Then each is decoded into values in range, or refused with a reason

  # Guards against heartbeats that stop the daemon.
  Scenario: Heartbeats with a value changed
    When 2000 heartbeats with a value changed are decoded
    Then each is decoded into values in range, or refused with a reason
