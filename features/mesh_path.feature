Feature: Mesh fleet, requests end to end
  The daemons on the backend server VMs send each request to a backend server
  and return its response. A request that isn't idempotent runs at most once,
  whatever the backend server does.

  Background:
    Given a mesh fleet of 3 VMs with 2 slots each

  Scenario: Every caller gets the response to its own request and every request runs once
    When callers send 60 requests to "/once/", spread over all VMs
    Then all responses have status 200
    And every request ran exactly once

  # The rows with endless responses guard against responses that would fill the
  # memory of a gate.
  Scenario Outline: A request that isn't idempotent isn't repeated when its backend server <behaviour>
    Given every backend server <behaviour>
    When a caller sends a request to "/once/"
    Then the response has status <status>
    And the request ran <runs> times

    Examples:
      | behaviour                                    | status | runs |
      | hangs                                        | 504    | 1    |
      | closes the connection                        | 502    | 1    |
      | truncates responses                          | 502    | 1    |
      | resets a response without length             | 502    | 1    |
      | resets a response without length immediately | 502    | 1    |
      | sends a response without length              | 200    | 1    |
      | sends extra bytes                            | 200    | 1    |
      | responds with another request's id           | 502    | 1    |
      | responds without signature                   | 502    | 1    |
      | fails                                        | 500    | 1    |
      | responds with 503 after running              | 502    | 1    |
      | sends a faulty header field                  | 502    | 1    |
      | stops within the head of its response        | 502    | 1    |
      | stops after the last field of the head       | 502    | 1    |
      | stops within the head after an interim response | 502 | 1    |
      | responds with an earlier request's refusal   | 502    | 1    |
      | responds with a 421 for an earlier request   | 502    | 1    |
      | sends an endless header                      | 502    | 1    |
      | sends endless interim responses              | 502    | 1    |
      | sends an endless body                        | 502    | 1    |

  Scenario Outline: An idempotent request is served although one backend server <behaviour>
    Given one backend server <behaviour>
    When callers send 12 requests to "/repeatable/", spread over all VMs
    Then all responses have status 200
    And no request ran more than 2 times

    Examples:
      | behaviour                          |
      | hangs                              |
      | closes the connection              |
      | truncates responses                |
      | responds with another request's id |
      | fails                              |
      | rejects requests                   |

  Scenario: A request that certainly did not run is sent to another backend server
    Given one backend server rejects requests
    When callers send 12 requests to "/once/", spread over all VMs
    Then all responses have status 200

  Scenario: A request that ran nowhere is refused as not run, with a Retry-After time
    Given every backend server rejects requests
    When a caller sends a request to "/once/"
    Then the response has status 503
    And the response has a Retry-After time

  Scenario: A request is cancelled when its caller disconnects
    Given every backend server hangs
    When a caller sends a request to "/repeatable/" and disconnects after 50 ms
    Then within 500 ms no request is running at any backend server

  Scenario: A backend server that shuts down gets no new requests
    Given the backend server of VM 0 announces its shutdown
    When callers send 30 requests to "/once/", spread over all VMs
    Then all responses have status 200
    And the backend server of VM 0 received no request

  Scenario Outline: Requests that the configuration doesn't allow are refused
    When a caller sends a request to "<path>" with the key "<key>"
    Then the response has status <status>

    Examples:
      | path       | key     | status |
      | /elsewhere | key-big | 404    |
      | /once/     | wrong   | 401    |
      | /once/     |         | 401    |
      | /open/     |         | 200    |

  Scenario: A body over the limit is refused, and the caller gets the response
    When a caller sends a body of 1500000 bytes to "/once/"
    Then the response has status 413

  Scenario: A customer's rate limit holds across all VMs
    When a caller with the key "key-small" sends 60 requests, spread over all VMs
    Then at most 11 of them ran
    And the others were refused with status 429 and a Retry-After time

  Scenario: A configuration reaches daemons that the store doesn't serve
    When version 2 without "/once/" is delivered to VM 0 only
    Then every VM refuses "/once/" with 404 within 2000 ms
    And delivering version 1 to VM 1 again changes nothing

  Scenario Outline: Every request that isn't served is logged with its cause
    Given every backend server <behaviour>
    When callers send 9 requests to "/once/", spread over all VMs
    Then each is logged with its id, its status and the reason "<reason>"
    And those that were sent to no instance have the reason "busy" or "not-answering"

    Examples:
      | behaviour             | reason      |
      | closes the connection | answer-lost |
      | hangs                 | timeout     |
      | rejects requests      | not-run     |

  # Guards against refusals that can't be explained afterwards, because the log
  # was not being read when they happened.
  Scenario: Every request that isn't served is logged although the log wasn't being read
    Given every backend server closes the connection
    And the reader of the log is paused
    When callers send 9 requests to "/once/", spread over all VMs
    And the reader of the log resumes
    Then each is logged with its id, its status and the reason "answer-lost"
