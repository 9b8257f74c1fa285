Feature: The sheet
  A planner's exported sheet is applied as a whole or not at all. Every fault
  is reported, and so is every other operator's change that it overwrites.

  Background:
    Given a store and 3 daemons in 3 failure domains

  Scenario Outline: Sheets as office programs export them
    When the sheet "<sheet>" is applied
    Then it is accepted
    And customer "can-tho" has the name "Công ty Cần Thơ" and the rate 1234.5
    And customer "gaspe" has the name "Caisse de Gaspé" and the rate 2500

    Examples:
      | sheet                                                   |
      | UTF-8 with BOM, semicolons, CRLF, decimal comma         |
      | UTF-8, tabs, decomposed letters, narrow no-break spaces |
      | UTF-8, commas, quoted numbers, points as decimals       |
      | UTF-16, tabs, columns in other order and case           |

  Scenario: Every fault is reported with its line and column
    When the faulty sheet is checked
    Then it is refused with code 3 and these faults:
      """
      line 3, column 4 (ratePerSecond): Invalid input: expected number, received string
      line 4, column 5 (burst): Invalid input: expected int, received number
      line 5, column 2 (id): must be 1 to 64 of A-Z a-z 0-9 . _ -
      line 8, column 1 (kind): must be one of customer, service, route
      line 9, column 6 (path): does not belong to a customer
      line 10, column 8: a value without a column heading
      line 6, column 2 (id): customer/can-tho is already on line 2
      line 11, column 7 (service): service/nowhere does not exist
      """
    When the faulty sheet is applied
    Then it is refused with code 3
    And nothing is configured

  Scenario: Applying a sheet again changes nothing
    Given a sheet with 12 customers is applied
    When the sheet with 12 customers is applied again
    Then it is accepted
    And the plan counts 0 created, 0 changed, 0 removed
    And the audit has 1 entry

  Scenario: Large removals must be confirmed
    Given a sheet with 12 customers is applied
    When a sheet with 2 customers is applied
    Then it is refused with code 6
    When a sheet with 2 customers is applied with "--allow-removals"
    Then it is accepted
    And the plan counts 0 created, 0 changed, 10 removed

  Scenario: A dry run shows the plan and changes nothing
    Given a sheet with 2 customers is applied
    When a sheet with 3 customers is applied with "--dry-run"
    Then the plan counts 1 created, 0 changed, 0 removed
    And the audit has 1 entry

  Scenario: Overwriting another operator's change is reported
    Given a sheet with 2 customers is applied
    And another operator sets "ratePerSecond=77" of "c-1"
    When a sheet with 2 customers is applied with "--revision=1"
    Then it is refused with code 4
    When a sheet with 2 customers is applied with "--dry-run"
    Then the plan reports that "customer/c-1" of revision 2 is overwritten

  Scenario: Two sheets that are applied at once never mix
    When sheets with 40 and 60 customers are applied at once
    Then the customers are those of one sheet that was accepted

  Scenario: A sheet is applied once even if answers of the store are lost
    Given the store loses its next 4 answers to writes
    When a sheet with 12 customers is applied
    Then it is accepted
    And the audit has 1 entry

  Scenario: A sheet may be far larger than a value of the store
    When a sheet with 30000 customers is applied
    Then it is accepted
    And 30000 customers are in force everywhere within 12 s
    And no value of the store is larger than 1 MB
