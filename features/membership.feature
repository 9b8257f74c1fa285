Feature: Membership
  Every daemon lists the live members of the fleet. Members that crash are
  removed; those that only pause briefly or are blocked in one direction stay.

  Background:
    Given a store and 4 daemons in 3 failure domains behind links
    Then every daemon lists exactly "d1 d2 d3 d4" within 10 s

  Scenario: A killed daemon is removed and rejoins at the same address
    When daemon "d4" is killed
    Then daemons "d1 d2 d3" list exactly "d1 d2 d3" within 15 s
    When daemon "d4" is started again
    Then every daemon lists exactly "d1 d2 d3 d4" within 10 s

  Scenario: A daemon that is blocked towards one other stays in the fleet
    When traffic from "d1" to "d2" is blocked
    Then every daemon lists exactly "d1 d2 d3 d4" for 10 s

  Scenario: A daemon that is paused for three seconds stays in the fleet
    When daemon "d3" is paused for 3 s
    Then daemons "d1 d2 d4" list exactly "d1 d2 d3 d4" for 5 s

  # Guards against a claim whose gossip ends before the daemon can hear it, as
  # when that daemon is paused.
  Scenario: A daemon that pings another is told that it is suspected
    Given a member "a" whose gossip about the suspected "b" has ended
    When "b" pings it
    Then the reply says that "b" is suspected
    And its pings to "b" say so too

  Scenario: An isolated daemon is removed and rejoins once it is connected again
    When "d4" is cut off from all other daemons
    Then daemons "d1 d2 d3" list exactly "d1 d2 d3" within 15 s
    When "d4" is connected to all other daemons again
    Then every daemon lists exactly "d1 d2 d3 d4" within 20 s
