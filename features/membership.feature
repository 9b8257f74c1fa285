Feature: Membership
  Every daemon knows who is in the fleet, whatever fails in between.

  Background:
    Given a store and 4 daemons in 3 failure domains behind links
    Then every daemon knows exactly "d1 d2 d3 d4" within 10 s

  Scenario: A killed daemon is left out, and comes back at its address
    When daemon "d4" is killed
    Then daemons "d1 d2 d3" know exactly "d1 d2 d3" within 15 s
    When daemon "d4" is started again
    Then every daemon knows exactly "d1 d2 d3 d4" within 10 s

  Scenario: A daemon that isn't heard by one other stays in the fleet
    When what "d1" sends to "d2" is lost
    Then every daemon knows exactly "d1 d2 d3 d4" for 10 s

  Scenario: A daemon that is paused for three seconds stays in the fleet
    When daemon "d3" is paused for 3 s
    Then daemons "d1 d2 d4" know exactly "d1 d2 d3 d4" for 5 s

  Scenario: A daemon that is cut off and connected again is one of the fleet
    When "d4" is cut off from all other daemons
    Then daemons "d1 d2 d3" know exactly "d1 d2 d3" within 15 s
    When "d4" is connected to all other daemons again
    Then every daemon knows exactly "d1 d2 d3 d4" within 20 s
