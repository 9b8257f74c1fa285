Feature: Memory of the whole process
  The memory budget counts what requests hold. Buffers that were released stay in
  memory until a garbage collection, and the heap grows as well; so a daemon
  measures its process before it grants more.

  # Guards against a process that exceeds its VM's memory although the budget has
  # room: by its heap, by buffers that were released, or by other memory.
  Scenario Outline: Nothing is granted while <share> takes the memory
    Given a process with 250 MB of memory, of which 70 MB are in use at rest
    When <share> takes 140 MB more
    Then 10 MB more are granted
    But 20 MB more are not

    Examples:
      | share              |
      | the heap           |
      | a set of buffers   |
      | the resident size  |

  # Guards against buffers that count only once their pages are written.
  Scenario: Buffers that are allocated and not yet written count
    Given a process with 250 MB of memory, of which 70 MB are in use at rest
    When a set of buffers takes 100 MB more, of which none is written
    Then 50 MB more are granted
    But 60 MB more are not

  # Guards against requests that are refused for good because of garbage.
  Scenario: Garbage is collected when memory is short
    Given a process with 250 MB of memory, of which 70 MB are in use at rest
    When released buffers take 150 MB more
    Then 20 MB more are granted after at most 2 tries

  # Guards against a process that does nothing but collect garbage.
  Scenario: A major collection comes at most twice a second
    Given a process with 250 MB of memory, of which 70 MB are in use at rest
    And its collections free nothing
    When released buffers take 150 MB more
    And 20 MB more are asked for every 10 ms over 3 s
    Then there were 6 major collections

  Scenario: An idle process collects nothing
    Given a process with 250 MB of memory, of which 70 MB are in use at rest
    When 1 MB more are asked for every 10 ms over 3 s
    Then there were 0 major collections

  # Guards against ordinary requests that are refused because others took all.
  Scenario: What is set aside for small bodies and responses is granted without room
    Given a memory budget of 140 MB in a process without room
    Then a large body, a body of a peer, a frame and a response of 100 KB get nothing
    But a small body and a small response get their memory
    And a body that is in memory already is kept
