Feature: Callers' interface
  Ambiguous requests are refused, the caller's API key is never forwarded,
  large bodies are streamed in bounded memory, and a caller's disconnect
  cancels its request at the instance.

  Background:
    Given a store and 2 daemons in 2 failure domains
    And an instance "intake-1" of "statement-intake" behind daemon "d1"
    And the sheet:
      """
      kind;id;name;ratePerSecond;burst;floor;path;service;deadlineMs
      customer;can-tho;Công ty Cần Thơ;1000;500;;;;
      service;statement-intake;;;;1;;;
      route;intake;;;;;/intake;statement-intake;60000
      service;nobody;;;;0;;;
      route;nobody;;;;;/nobody;nobody;1000
      """
    And a key for "can-tho"
    And the rate of "can-tho" is known everywhere

  Scenario Outline: Ambiguous and unsupported requests are refused
    When these raw bytes with the key of "can-tho" are sent to daemon "d1": "<bytes>"
    Then the first response status is <status>
    And no instance ran a request

    Examples:
      | bytes                                                                                             | status |
      | POST /intake HTTP/1.1\r\nHost: a\r\nX-Api-Key: KEY\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n | 400    |
      | POST /intake HTTP/1.1\r\nHost: a\r\nX-Api-Key: KEY\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc     | 400    |
      | POST /intake HTTP/1.1\r\nHost: a\r\nX-Api-Key: KEY\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n     | 400    |
      | GET /intake HTTP/1.1\r\nX-Api-Key: KEY\r\n\r\n                                                      | 400    |
      | GET /intake HTTP/1.1\r\nHost: a\r\nHost: b\r\nX-Api-Key: KEY\r\n\r\n                                | 400    |
      | GET /intake HTTP/1.1\r\nHost: a\r\nX-Api-Key: KEY\r\nX-Bad : 1\r\n\r\n                              | 400    |
      | GET /intake HTTP/1.1\r\nHost: a\r\nX-Api-Key: KEY\r\nX-Null: a\u0000b\r\n\r\n                       | 400    |
      | GET /intake/../admin HTTP/1.1\r\nHost: a\r\nX-Api-Key: KEY\r\n\r\n                                  | 400    |
      | GET /intake/%2e%2e/admin HTTP/1.1\r\nHost: a\r\nX-Api-Key: KEY\r\n\r\n                              | 400    |
      | GET /intake/..;x/admin HTTP/1.1\r\nHost: a\r\nX-Api-Key: KEY\r\n\r\n                                | 400    |
      | GET /intake%2fadmin HTTP/1.1\r\nHost: a\r\nX-Api-Key: KEY\r\n\r\n                                   | 400    |
      | GET //intake HTTP/1.1\r\nHost: a\r\nX-Api-Key: KEY\r\n\r\n                                          | 400    |
      | GET /intake?k=KEY HTTP/1.1\r\nHost: a\r\nX-Api-Key: KEY\r\n\r\n                                     | 400    |
      | GET /intake HTTP/1.1\r\nHost: a\r\nX-Api-Key: KEY\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n | 400 |
      | CONNECT a:443 HTTP/1.1\r\nHost: a\r\n\r\n                                                           | 405    |
      | GET /intake HTTP/1.1\r\nHost: a\r\nX-Long: LONG\r\n\r\n                                             | 431    |

  Scenario: The API key is not forwarded to backend servers
    Given the instances record the bytes that they receive
    When "can-tho" sends its key in several header fields to daemon "d2"
    Then the answer is 200
    And no instance received the key of "can-tho"

  Scenario: Pipelined requests are answered in order
    When "can-tho" pipelines 20 requests of different duration and answer size to daemon "d2"
    Then the pipelined answers come in the order of the requests

  Scenario: A large upload through two daemons is streamed in bounded memory
    When "can-tho" uploads 300 MB to "/intake/file" at daemon "d2"
    Then the answer is 200
    And the instance received all 300 MB
    And the peak memory of no daemon grew by more than 80 MB

  Scenario: A caller's disconnect cancels its request at the instance
    When "can-tho" disconnects while "/intake/slow" runs through daemon "d2"
    Then the run of "/intake/slow" does not finish

  Scenario: A connection stays usable after a refused upload
    When "can-tho" uploads 2 MB to "/nobody" and then requests "/intake" on the same connection to daemon "d1"
    Then the response statuses are "503 200"
