Feature: Explaining where a mesh daemon would send a request
  Operators ask a running daemon where a given request would go now, and why.
  Nothing is sent to an instance, and asking changes nothing.

  Background:
    Given a mesh fleet of 3 VMs with 2 slots each

  Scenario: The plan names the gates in their order, with their costs
    When the daemon of VM 0 is asked about "/repeatable/x" with the key "key-big"
    Then the route is "repeatable" and the customer is "big"
    And the plan for "pay" is "ask", first at "vm-0", at 3 gates
    And each gate has costs that add up to its cost

  # Guards against an explanation by other rules than those of the requests.
  Scenario: The next request goes where the explanation says
    Given the backend server of VM 0 announces its shutdown
    When the daemon of VM 0 is asked about "/once/x" with the key "key-big"
    Then the gate of "vm-0" is not used because it is "draining"
    And a request to "/once/x" at VM 0 runs at a VM that may be first

  Scenario: All slots are in use
    Given every backend server hangs
    And a caller has sent 6 requests to "/long/" at VM 0 with a deadline of 4000 ms
    When the daemon of VM 0 is asked about "/repeatable/x" with the key "key-big"
    Then the plan for "pay" is "queue", first at "vm-0", at 3 gates
    And the text says "no free slot is known"

  Scenario Outline: A request that would be refused
    When the daemon of VM 0 is asked about "<path>" with the key "<key>" and a body of <bytes> bytes
    Then it would be refused as "<refusal>"
    And the text says "<refusal>"

    Examples:
      | path         | key       | bytes   | refusal        |
      | /nowhere/    | key-big   | 0       | no-route       |
      | /once/       |           | 0       | key-missing    |
      | /once/       | key-bogus | 0       | key-unknown    |
      | /once/       | key-big   | 1000001 | body-too-large |

  Scenario: A public route needs no key
    When the daemon of VM 0 is asked about "/open/x" with the key ""
    Then the plan for "pay" is "ask", first at "vm-0", at 3 gates

  Scenario: No instance is ready
    Given the backend server of VM 0 announces its shutdown
    And the backend server of VM 1 announces its shutdown
    And the backend server of VM 2 announces its shutdown
    When VM 0 knows that no instance is ready
    And the daemon of VM 0 is asked about "/once/x" with the key "key-big"
    Then the plan for "pay" is "refuse", because of "no-instance"

  # Guards against a body whose fingerprint is guessed.
  Scenario: Without the body it is unknown whether the request is quarantined
    When the daemon of VM 0 is asked about "/once/x" with the key "key-big" and a body of 9 bytes
    Then its quarantine is "unknown"
    When the daemon of VM 0 is asked about "/once/x" with the key "key-big"
    Then its quarantine is "allowed"

  # Guards against a trial that the question itself uses up.
  Scenario: A quarantined request stays quarantined, and its trial isn't used up
    When three instances ended during a request, and the daemon is asked about it
    Then it is quarantined, then due for a trial each time it is asked

  # Guards against questions that use the customer's tokens or the slots.
  Scenario: Asking changes no state and doesn't show the key
    When the daemon of VM 0 is asked 50 times about "/once/x" with the key "key-small"
    Then 3 requests of the key "key-small" to "/once/x" are served
    And no backend server received another request
    And neither an answer nor a log line contains "key-small"
    And no request is counted for the questions

  Scenario Outline: An invalid question is refused, naming the field
    When the daemon of VM 0 is asked with the query "<query>"
    Then the question is refused, naming "<field>"

    Examples:
      | query                           | field       |
      | host=a                          | path        |
      | path=/x                         | host        |
      | host=a&path=x                   | path        |
      | host=a&path=/x&bodyBytes=-1     | bodyBytes   |
      | host=a&path=/x&fingerprint=none | fingerprint |
      | host=a&path=/x&key=1            | key         |

  # Guards against a command that no test runs as operators do.
  Scenario: The command prints text and JSON
    When the command explains "/repeatable/x" at VM 0 with a key file that has "key-big"
    Then it prints the plan as text, and as JSON, without the key
