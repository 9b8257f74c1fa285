Feature: Guards for callers on one server
  A server with the guards of a daemon and short limits.

  # Guards against a body that escapes every limit because an earlier request of
  # the same packet ended after the body began.
  Scenario: A request and an unfinished body come in one packet
    Given a guarded server
    When a caller sends at once: a request and an unfinished body
    Then the caller reads "stalled", and its connection is closed
    And no bytes of the budget are in use

  # Guards against small bodies that are cut off for a large one, though they
  # don't hold what it lacks, and against more displacements than needed.
  Scenario: A large body waits beside a small one and two large ones
    Given a guarded server
    When callers leave bodies of 28000, 4000000 and 4000000 bytes for 700 ms
    And another caller sends a body of 2000000 bytes
    Then the last caller reads "whole"
    And only caller 2 was cut off, as "displaced"

  # Guards against bodies that are cut off in vain.
  Scenario: A body waits that can't be granted beside what is kept
    Given a guarded server
    And 6000000 bytes of kept bodies
    When callers leave bodies of 28000, 1000000 and 1000000 bytes for 700 ms
    And 7000000 bytes of kept bodies
    And another caller sends a body of 8000000 bytes
    Then the last caller reads "no-memory"
    And no caller was cut off as "displaced"

  # Guards against a body that waits, and displaces others, though the budget
  # never has room for it.
  Scenario: A body is larger than the budget ever grants
    Given a guarded server
    When callers leave bodies of 28000, 4000000 and 4000000 bytes for 700 ms
    And another caller sends a body of 9000000 bytes
    Then within 500 ms the last caller reads "no-memory"
    And no caller was cut off as "displaced"

  # Guards against a body that loses its refusal and its place among those that
  # may be cut off, because an earlier body ended after it began.
  Scenario: A body and an unfinished one come in one packet
    Given a guarded server
    When a caller sends at once: a whole and an unfinished body
    Then the caller reads "whole", and its connection is closed
    And the caller reads "stalled", and its connection is closed
    And no bytes of the budget are in use

  # Guards against a grant that is never returned, because the request had closed
  # before its body was read.
  Scenario: A caller has gone before its body is read
    Given a guarded server
    When a caller has gone 200 ms before the body is read
    Then its body is "broken" within 1000 ms
    And no bytes of the budget are in use

  # Guards against a request at work whose connection is closed because some of a
  # next one has arrived.
  Scenario Outline: Part of a next request arrives, and there is room for 1 <limit>
    Given a guarded server with room for 1 <limit>
    When a caller sends a slow request, and after 100 ms <packet>
    And another caller sends an unfinished body 700 ms later
    Then the first caller reads "whole"

    Examples:
      | limit              | packet         |
      | unfinished request | a line break   |
      | unfinished request | part of a head |
      | connection         | a line break   |
      | connection         | part of a head |

  # Guards against connections that stay open after CONNECT at a listener that
  # has no handler for it.
  Scenario Outline: A caller sends CONNECT to <listener>
    Given a guarded server <handling>
    When a caller sends CONNECT and stays
    Then the caller's connection is closed within 3000 ms

    Examples:
      | listener                        | handling                          |
      | a listener with a refusal       | that allows half-open connections |
      | a listener without any handling | that has no refusal for CONNECT   |

  # Guards against an upload that gets no turn beside a crowd of short requests.
  Scenario: Many connections of pipelined requests send beside one upload
    Given a crowd of 60 connections that always have short data to parse
    When a connection has 360000 bytes to parse
    Then they are parsed within 600 turns
