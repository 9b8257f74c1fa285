Feature: Callers' interface
  What can be read in two ways is refused, the caller's key stays here,
  large bodies flow in bounded memory, and a caller who leaves is heard.

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

  Scenario Outline: Ambiguous requests are refused on the wire
    When these bytes with the key of "can-tho" are sent to daemon "d1": "<bytes>"
    Then the first status on the wire is <status>
    And nothing ran

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

  Scenario: The key is in no byte that a backend server receives
    Given the instances keep the bytes that they receive
    When "can-tho" sends its key in every place that it can to daemon "d2"
    Then the answer is 200
    And no instance has seen the key of "can-tho"

  Scenario: Pipelined requests get their own answers in order
    When "can-tho" pipelines 20 requests of differing length to daemon "d2"
    Then each pipelined answer belongs to its request

  Scenario: A large upload through two daemons takes bounded memory
    When "can-tho" uploads 300 MB to "/intake/file" at daemon "d2"
    Then the answer is 200
    And the instance received all 300 MB
    And no daemon grew by more than 80 MB

  Scenario: A caller that goes away is heard by the instance
    When "can-tho" goes away while "/intake/slow" runs at daemon "d2"
    Then the run of "/intake/slow" never finishes

  Scenario: A refused upload leaves the connection to the next request
    When "can-tho" uploads 2 MB to "/nobody" and asks for "/intake" on one connection of daemon "d1"
    Then the statuses on the wire are "503 200"
