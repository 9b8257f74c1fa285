Feature: Entries of other writers
  An entry that this version can't use names no daemon; the others hold.

  # Guards against an entry that ends every daemon that reads the list.
  Scenario Outline: An entry with <fault> is left out of the list
    Given the platform's store with version 1
    And an entry with <fault> and a valid one in the list of daemons
    When a daemon reads the list
    Then it knows the valid entry alone
    And the log names the invalid entry

    Examples:
      | fault                       |
      | a port out of range         |
      | a negative port             |
      | an address that is a word   |
      | an empty address            |
      | a number too large          |
      | very deep nesting           |
      | no failure domain           |
      | bytes that can't be decoded |
