Feature: Where a request looks for a slot
  Each gate decides by itself what it lets in; what a router was last told of
  it may be old. Without a network.

  Scenario Outline: A request passes over an instance that answers nothing
    Given a near gate whose instance <near> and a far one whose instance <far>
    When a request that may be <how> looks for a slot
    Then it gets one at the <chosen> gate

    Examples:
      | near             | far      | how          | chosen |
      | answers          | answers  | run once     | near   |
      | answers          | answers  | run again    | near   |
      | answers nothing  | answers  | run once     | far    |
      | answers nothing  | answers  | run again    | far    |
      | is full          | answers  | run once     | far    |
      | answers nothing  | is full  | run once     | near   |
      | answers nothing  | is full  | run again    | near   |

  Scenario: A second send of a request isn't wasted on such an instance
    Given a near gate whose instance answers nothing and a far one whose instance is full
    When a second send of a request looks for a slot
    Then it gets none

  Scenario: With all instances full the request is declined, and told when to return
    Given a near gate whose instance is full and a far one whose instance is full
    When a request that may be run once looks for a slot
    Then it gets none, with the shorter of both waits
