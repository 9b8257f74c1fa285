Feature: Closing a listener
  # Guards against reset connections: callers connect while the process is busy
  # just before its planned stop, and the listener closes before accepting them.
  Scenario: A connection made just before the listener closes is served
    Given a server for callers
    When 5 callers connect and the server stops before it has accepted them
    Then each of them was answered 200
