Feature: Header fields and framing
  A message whose fields or framing can be understood in more than one way is
  refused before any handler gets it, in every release of Node.js.

  # Guards against requests that are hidden inside others.
  Scenario Outline: A server refuses a request with <fault>
    Given a strict server
    When it gets the raw request "<bytes>"
    Then it answers <answer>
    And its handlers got <handled> requests

    Examples:
      | fault                            | bytes                                                                                                | answer | handled |
      | a space before the colon         | GET / HTTP/1.1\r\nHost: a\r\nX-Bad : 1\r\n\r\n                                                       | 400    | 0       |
      | a tab before the colon           | GET / HTTP/1.1\r\nHost: a\r\nX-Bad\t: 1\r\n\r\n                                                      | 400    | 0       |
      | an empty field name              | GET / HTTP/1.1\r\nHost: a\r\n: 1\r\n\r\n                                                             | 400    | 0       |
      | a parenthesis in a field name    | GET / HTTP/1.1\r\nHost: a\r\nX(: 1\r\n\r\n                                                           | 400    | 0       |
      | a name without a colon           | GET / HTTP/1.1\r\nHost: a\r\nX-Bad\r\n\r\n                                                           | 400    | 0       |
      | a folded value                   | GET / HTTP/1.1\r\nHost: a\r\nX-Bad: 1\r\n 2\r\n\r\n                                                  | 400    | 0       |
      | a bare CR in a value             | GET / HTTP/1.1\r\nHost: a\r\nX-Bad: 1\r2\r\n\r\n                                                     | 400    | 0       |
      | a bare LF in a value             | GET / HTTP/1.1\r\nHost: a\r\nX-Bad: 1\nX-More: 2\r\n\r\n                                             | 400    | 0       |
      | bare LF as line end              | GET / HTTP/1.1\nHost: a\n\n                                                                          | 400    | 0       |
      | a NUL in a value                 | GET / HTTP/1.1\r\nHost: a\r\nX-Bad: 1\u00002\r\n\r\n                                                 | 400    | 0       |
      | two equal lengths                | POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na                        | 400    | 0       |
      | a list of lengths                | POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1, 1\r\n\r\na                                          | 400    | 0       |
      | a signed length                  | POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\na                                            | 400    | 0       |
      | a hexadecimal length             | POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0x1\r\n\r\na                                           | 400    | 0       |
      | an empty length                  | POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\r\n                                                | 400    | 0       |
      | a length beyond 64 bits          | POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\na                          | 400    | 0       |
      | a length and chunks              | POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n       | 400    | 0       |
      | an unknown encoding              | POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n                           | 400    | 0       |
      | a quoted encoding                | POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "chunked"\r\n\r\n0\r\n\r\n                          | 400    | 0       |
      | an encoding before the chunks    | POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n                      | 400    | 0       |
      | an encoding after the chunks     | POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n                  | 400    | 0       |
      | two encodings                    | POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n | 400 | 0       |
      | a space before an encoding colon | POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n                           | 400    | 0       |
      | an upgrade and a faulty name     | GET / HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: websocket\r\nX-Bad : 1\r\n\r\n          | 400    | 0       |
      | an expectation and a faulty name | POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 1\r\nX-Bad : 1\r\n\r\n         | 400    | 0       |

  # Releases of Node.js 20 differ in whether the parser refuses such a field
  # itself; guards against a refusal without its body where it does.
  Scenario Outline: A refusal names the field when <case>
    Given a strict server with a <parser> parser
    When it gets the raw request "<bytes>"
    Then it refuses it as malformed and names the field "<field>"
    And its handlers got 0 requests

    Examples:
      | case                              | parser  | bytes                                                          | field  |
      | the parser passes the field on    | lenient | GET / HTTP/1.1\r\nHost: a\r\nX-Bad: 1\u00002\r\n\r\n          | X-Bad  |
      | the parser refuses the name       | strict  | GET / HTTP/1.1\r\nHost: a\r\nX(: 1\r\n\r\n                   | X(     |
      | the parser refuses the value      | strict  | GET / HTTP/1.1\r\nHost: a\r\nX-Bad: 1\u00002\r\n\r\n          | X-Bad  |
      | the parser refuses a folded value | strict  | GET / HTTP/1.1\r\nHost: a\r\nX-Bad: 1\r\n 2\r\n\r\n           | X-Bad  |
      | the parser refuses the length     | strict  | POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\n     | Content-Length |

  # Node.js keeps only the bytes that it received last.
  Scenario: A field whose line began in an earlier packet is refused without its name
    Given a strict server
    When it gets "GET / HTTP/1.1\r\nHost: a\r\nX-B" and then "ad(: 1\r\n\r\n"
    Then it refuses it as malformed without a field

  # Guards against a refusal that would be taken for the response to the request
  # before, which is being handled.
  Scenario: A faulty request behind one in progress closes the connection
    Given a strict server that doesn't respond
    When it gets the raw request "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nX(: 1\r\n\r\n"
    Then it closes the connection without a response

  # Guards against a raw 400, 408 or 431 of Node.js in the same place; a 408
  # promises that the request has not run.
  Scenario Outline: A request with <fault> behind one in progress closes the connection
    Given a strict server that doesn't respond, with 200 ms for a head of 1000 bytes
    When it gets the raw request "GET / HTTP/1.1\r\nHost: a\r\n\r\n<bytes>"
    Then it closes the connection without a response
    And its handlers got <handled> requests

    Examples:
      | fault                    | bytes                                                                                       | handled |
      | a partial head           | GET / HTTP/1.1\r\nHost: a\r\n                                                               | 1       |
      | an oversized head        | GET / HTTP/1.1\r\nX-Long: (1000 bytes)\r\n\r\n                                              | 1       |
      | an invalid method        | G(T / HTTP/1.1\r\nHost: a\r\n\r\n                                                           | 1       |
      | an invalid version       | GET / HTTP/x\r\nHost: a\r\n\r\n                                                             | 1       |
      | an invalid chunk         | POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n+5\r\nhello\r\n0\r\n\r\n    | 2       |

  # Guards against the same for a request that only the server's own check refuses.
  Scenario: A faulty upgrade behind a request in progress closes the connection
    Given a strict server with a lenient parser that doesn't respond
    When it gets the raw request "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: a\r\nX-Bad: 1\u00002\r\n\r\n"
    Then it closes the connection without a response

  # Names and values from a fixed seed, each with one character that is not
  # allowed there.
  Scenario: A server refuses generated fields that are not valid
    Given a strict server
    When it gets 300 requests with a generated faulty field
    Then each is refused with 400 or its connection is closed
    And its handlers got 0 requests

  # The handler gets such a request, and never the end of its body.
  Scenario Outline: A server completes no body whose chunks have <fault>
    Given a strict server
    When it gets a chunked body "<chunks>"
    Then it answers 400
    And it completed no body

    Examples:
      | fault                     | chunks                              |
      | a space after the size    | 5 \r\nhello\r\n0\r\n\r\n            |
      | a bare LF after the size  | 5\nhello\r\n0\r\n\r\n               |
      | a bare LF after the data  | 5\r\nhello\n0\r\n\r\n               |
      | a hexadecimal prefix      | 0x5\r\nhello\r\n0\r\n\r\n           |
      | a sign                    | +5\r\nhello\r\n0\r\n\r\n            |
      | no size                   | \r\nhello\r\n0\r\n\r\n              |
      | a size beyond 64 bits     | fffffffffffffffff\r\nhello\r\n0\r\n\r\n |
      | an unclosed quoted string | 5;a="b\r\nhello\r\n0\r\n\r\n        |
      | a bare LF at the end      | 5\r\nhello\r\n0\n\n                 |

  Scenario Outline: A server completes a body whose chunks have <feature>
    Given a strict server
    When it gets a chunked body "<chunks>"
    Then it answers 200
    And it completed the body "hello"

    Examples:
      | feature       | chunks                                  |
      | an extension  | 5;a=b\r\nhello\r\n0\r\n\r\n             |
      | a trailer     | 5\r\nhello\r\n0\r\nHost: z\r\n\r\n      |
      | leading zeros | 00005\r\nhello\r\n0\r\n\r\n             |

  Scenario: Every listener of a daemon refuses a faulty field name
    Given a store and 1 daemons in 1 failure domains
    When each listener of daemon "d1" gets a request with the field name "X-Bad "
    Then each refuses it with 400 and the field's name

  Scenario: Every listener of a mesh daemon refuses a faulty field name
    Given a mesh daemon and its listener for heartbeats
    When each of its listeners gets a request with the field name "X-Bad "
    Then each refuses it with 400 and the field's name
