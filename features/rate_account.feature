Feature: Holders of a rate that answer late
  A request waits for a holder that is only slow. One that stays silent is
  waited for once, and holds up nobody after that.

  # Guards against refusals as rate-unknown of customers far below their rate
  # while the VM of a holder is busy.
  Scenario: A slow holder is waited for
    Given a customer whose only holder answers after 300 ms
    When a request asks for a token
    Then it was admitted

  Scenario: A silent holder is waited for once
    Given a customer whose only holder never answers
    When a request asks for a token
    Then it was refused as "rate-unknown" within 800 ms
    When a request asks for a token
    Then it was refused as "rate-unknown" within 100 ms

  Scenario: The share of a daemon itself does not wait for a slow holder
    Given a customer whose nearer holder answers at once and the other after 300 ms
    When a request asks for a token
    Then it was admitted within 100 ms
