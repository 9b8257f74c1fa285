Feature: Mesh fleet, the whole path
  Daemons beside backend servers bring each request to one of them and its
  answer back. What may run once runs once at most, whatever the server does.

  Background:
    Given a mesh fleet of 3 VMs with 2 slots each

  Scenario: Every caller gets its own answer and every request runs once
    When callers send 60 requests to "/once/" over all VMs
    Then all are answered with 200
    And every request has run exactly once

  # The last three guard against bytes without end that fill a gate's memory.
  Scenario Outline: A request that may run once isn't repeated when its server <behaviour>
    Given every backend server <behaviour>
    When a caller sends a request to "/once/"
    Then it is answered with <status>
    And it has run <runs> times

    Examples:
      | behaviour                         | status | runs |
      | hangs                             | 504    | 1    |
      | breaks off                        | 502    | 1    |
      | cuts answers short                | 502    | 1    |
      | resets an answer without length   | 502    | 1    |
      | resets an answer without length at once | 502 | 1 |
      | sends an answer without length    | 200    | 1    |
      | sends surplus bytes               | 200    | 1    |
      | answers with another request's id | 502    | 1    |
      | answers without signature         | 502    | 1    |
      | fails                             | 500    | 1    |
      | answers 503 after running         | 502    | 1    |
      | sends a head without end          | 502    | 1    |
      | sends interim answers without end | 502    | 1    |
      | sends a body without end          | 502    | 1    |

  Scenario Outline: A request that may be repeated is served though one server <behaviour>
    Given one backend server <behaviour>
    When callers send 12 requests to "/repeatable/" over all VMs
    Then all are answered with 200
    And no request has run more than 2 times

    Examples:
      | behaviour                         |
      | hangs                             |
      | breaks off                        |
      | cuts answers short                |
      | answers with another request's id |
      | fails                             |
      | turns requests away               |

  Scenario: A request that was surely not run goes to another server
    Given one backend server turns requests away
    When callers send 12 requests to "/once/" over all VMs
    Then all are answered with 200

  Scenario: A request that nobody ran is refused as not run, with a time to return
    Given every backend server turns requests away
    When a caller sends a request to "/once/"
    Then it is answered with 503
    And the answer says when to come back

  Scenario: The work ends when its caller leaves
    Given every backend server hangs
    When a caller sends a request to "/repeatable/" and leaves after 50 ms
    Then nothing runs at any backend server within 500 ms

  Scenario: A leaving server gets nothing new
    Given the backend server of VM 0 says that it leaves
    When callers send 30 requests to "/once/" over all VMs
    Then all are answered with 200
    And the backend server of VM 0 has seen no request

  Scenario Outline: Refusals of what the configuration doesn't allow
    When a caller sends a request to "<path>" with the key "<key>"
    Then it is answered with <status>

    Examples:
      | path       | key     | status |
      | /elsewhere | key-big | 404    |
      | /once/     | wrong   | 401    |
      | /once/     |         | 401    |
      | /open/     |         | 200    |

  Scenario: A body over the limit is refused, and the caller hears so
    When a caller sends a body of 1500000 bytes to "/once/"
    Then it is answered with 413

  Scenario: A customer's rate holds over all VMs
    When a caller with the key "key-small" sends 60 requests over all VMs
    Then at most 11 of them have run
    And the others were refused with 429 and a time to return

  Scenario: A configuration reaches daemons that the store doesn't serve
    When version 2 without "/once/" comes to VM 0 alone
    Then every VM refuses "/once/" with 404 within 2000 ms
    And version 1 brought again to VM 1 changes nothing

  Scenario Outline: Every request that isn't served has a line with its cause
    Given every backend server <behaviour>
    When callers send 9 requests to "/once/" over all VMs
    Then each has a line with its id, the status and the reason "<reason>"
    And those that no instance was tried for "busy" or "not-answering"

    Examples:
      | behaviour           | reason      |
      | breaks off          | answer-lost |
      | hangs               | timeout     |
      | turns requests away | not-run     |

  # Guards against refusals that can't be explained because nobody read the
  # log when they happened.
  Scenario: Every request that isn't served has a line though the log wasn't read
    Given every backend server breaks off
    And the log's reader takes nothing
    When callers send 9 requests to "/once/" over all VMs
    And the log's reader reads again
    Then each has a line with its id, the status and the reason "answer-lost"
