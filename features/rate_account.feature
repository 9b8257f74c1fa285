Feature: Holders of a rate that reply late
  A request waits for a holder that is merely slow. It waits only once for a
  holder that does not reply; later requests are not delayed by that holder.

  # Guards against customers far below their rate being refused with
  # rate-unknown while the VM of a holder is busy.
  Scenario: A request waits for a slow holder
    Given a customer whose only holder replies after 300 ms
    When a request needs a token
    Then the request is admitted

  Scenario: Only the first request waits for an unresponsive holder
    Given a customer whose only holder never replies
    When a request needs a token
    Then the request is refused as "rate-unknown" within 800 ms
    When a request needs a token
    Then the request is refused as "rate-unknown" within 100 ms

  Scenario: A request served by the daemon's own share does not wait for a slow holder
    Given a customer whose nearer holder replies at once and the other after 300 ms
    When a request needs a token
    Then the request is admitted within 100 ms

  # Guards against customers below their rate being refused with rate-unknown by
  # a daemon that was late to read a reply.
  Scenario: A request is admitted although the daemon was late to read a reply
    Given a customer whose only holder replies at once
    When a request needs a token and the daemon is then busy for 600 ms
    Then the request is admitted
