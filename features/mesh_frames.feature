Feature: Frames between daemons
  What crosses failure domains is dear, so frames carry values, not names.

  Scenario Outline: A frame of each request carries no field names
    When a "<frame>" frame is encoded
    Then it carries none of the names of its fields
    And decoded it is the same frame

    Examples:
      | frame          |
      | reserve        |
      | withdraw       |
      | run            |
      | share          |
      | granted        |
      | repeat ask     |
      | part           |
      | payment        |
      | repeat granted |
      | reserved       |
      | declined       |
      | answered       |
      | unknown        |
      | rejected       |

  Scenario: A gate that only has another load tells no more than that
    When a gate tells its load
    Then that takes at most 24 bytes
    And decoded it is the same frame

  Scenario Outline: The whole status is told when <field> changes
    When the <field> of a gate changes
    Then its load alone doesn't do

    Examples:
      | field     |
      | instance  |
      | state     |
      | slots     |
      | version   |
      | stopping  |

  Scenario: Bytes that are no frame are refused
    When bytes are decoded that are no frame
    Then they are refused as "frameInvalid"
