Feature: Explaining requests from the logs of many daemons
  Lines of one request are told in order, refusals are counted by cause, and
  the requests that callers waited for longest are listed.

  Background:
    Given these log lines, among others that are no JSON:
      | time | vm   | event      | id  | route | status | reason   | tookMs |
      | 12   | vm-2 | sent       | r-1 |       |        |          |        |
      | 10   | vm-1 | admitted   | r-1 |       |        |          |        |
      | 15   | vm-1 | answered   | r-1 | pay   | 200    | ok       | 5      |
      | 16   | vm-1 | not-served | r-2 | pay   | 503    | busy     | 2      |
      | 17   | vm-2 | not-served | r-3 | pay   | 503    | busy     | 0      |
      | 30   | vm-2 | not-served | r-4 | lists | 504    | deadline | 900    |

  # Guards against a story in which a VM's lines stand before their cause.
  Scenario: One request's story in order
    When the request "r-1" is explained
    Then the events are "admitted,sent,answered"

  # Guards against on-call engineers who see single refusals and no pattern.
  Scenario: Causes, most frequent first
    When refusals are counted
    Then the counts are "2 busy,1 deadline"

  # Guards against late answers that nobody can name.
  Scenario: The slowest requests, refused ones included
    When the slowest requests are listed
    Then the ids are "r-4,r-1,r-2,r-3"

  # Guards against a table that hides which callers pay when room is short.
  Scenario: How requests ended, by customer
    Given these log lines, among others that are no JSON:
      | atMs | vm   | event      | id  | route | customer | status | reason  | ran     | tookMs | objectiveMs |
      | 10   | vm-1 | sent       | r-1 | pay   |          |        |         |         |        |             |
      | 60   | vm-1 | answered   | r-1 | pay   | hue      | 200    |         |         | 55     | 100         |
      | 400  | vm-1 | sent       | r-2 | pay   |          |        |         |         |        |             |
      | 450  | vm-1 | sent       | r-2 | pay   |          |        |         |         |        |             |
      | 500  | vm-1 | answered   | r-2 | pay   | hue      | 200    |         |         | 300    | 100         |
      | 500  | vm-1 | not-served | r-3 | pay   | hue      | 503    | busy    | no      | 70     | 100         |
      | 600  | vm-1 | not-served | r-4 | pay   | da-lat   | 504    | timeout | unknown | 400    | 100         |
    When outcomes are grouped by "customer"
    Then the table is:
      | group  | asked | inObjective | late | refused | failed    | waitP50Ms | waitP99Ms | refusalP50Ms | refusalP99Ms |
      | hue    | 3     | 1           | 1    | busy 1  |           | 5         | 200       | 70           | 70           |
      | da-lat | 1     | 0           | 0    |         | timeout 1 | 0         | 0         | 0            | 0            |
