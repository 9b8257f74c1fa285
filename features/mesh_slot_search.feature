Feature: Search for a slot
  Each gate decides by itself which requests it admits, and the status that a
  router last received from it may be out of date. These scenarios use no
  network.

  Scenario Outline: A request avoids an instance that doesn't respond
    Given a near gate whose instance <near> and a far one whose instance <far>
    When <request> searches for a slot
    Then it gets a slot at the <chosen> gate

    Examples:
      | near            | far      | request                  | chosen |
      | responds        | responds | a non-idempotent request | near   |
      | responds        | responds | an idempotent request    | near   |
      | doesn't respond | responds | a non-idempotent request | far    |
      | doesn't respond | responds | an idempotent request    | far    |
      | is full         | responds | a non-idempotent request | far    |
      | doesn't respond | is full  | a non-idempotent request | near   |
      | doesn't respond | is full  | an idempotent request    | near   |

  Scenario: No repeat is sent to an instance that doesn't respond
    Given a near gate whose instance doesn't respond and a far one whose instance is full
    When a repeat of a request searches for a slot
    Then it gets no slot

  Scenario: With all instances full the request is declined, with the time to wait
    Given a near gate whose instance is full and a far one whose instance is full
    When a non-idempotent request searches for a slot
    Then it gets no slot, with the shorter of both waits

  # Guards against an answer that leaves open whether a request ran, although no
  # instance was there to run it.
  Scenario: When the last instances leave during the search, it ends without a slot
    Given a near gate whose instance leaves meanwhile and a far one whose instance leaves meanwhile
    When a non-idempotent request searches for a slot
    Then it gets no slot

  # Guards against a search that begins anew at busy gates, and a refusal without
  # the time to wait, because the decline of an evacuated gate has no wait.
  Scenario: One gate is evacuated while the other one stays full
    Given a near gate whose instance is full and a far one whose instance is evacuated meanwhile
    When a non-idempotent request searches for a slot
    Then it gets no slot, with the wait of the near gate
    And it has queued once at each gate
