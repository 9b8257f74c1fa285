Feature: A listener that closes
  # Guards against connections reset because they were made while the process
  # was busy just before its planned stop.
  Scenario: A connection made just before the listener closes is served
    Given a server for callers
    When 5 callers connect and the server stops before it has seen them
    Then each of them was answered 200
