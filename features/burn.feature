Feature: Service-level burn
  The report lists which customers spent the error budget and why. Counts
  survive a daemon's planned restart; counts lost in a crash are reported as a
  gap.

  Scenario: The report lists who spent the error budget, and why
    Given a fleet of three daemons that count requests
    When "da-lat" requests from daemon "d3" until 10 responses are 429
    Then the report counts each response 429 as an "overRate" request of "da-lat"
    When instance "ledger-1" fails every request
    And "can-tho" requests from daemon "d2" until 3 responses are 500
    Then the report counts each response to "can-tho"
    And the report lists the budget spent by "can-tho", the largest shares first
    And the budget is spent and the alert is "page"
    And nothing is missing from the report
    And the HTML report is self-contained

  Scenario: Counts survive a planned restart
    Given a fleet of three daemons that count requests
    When 8 requests of "can-tho" are served by daemon "d2"
    And daemon "d2" is stopped as planned
    Then the report counts 8 "good" requests of "can-tho"
    And nothing is missing from the report
    When daemon "d2" is started again
    And all daemons serve requests
    And 2 requests of "can-tho" are served by daemon "d2"
    Then the report counts 10 "good" requests of "can-tho"
    And nothing is missing from the report

  Scenario: After a crash the report lists the period without counts
    Given a fleet of three daemons that count requests
    And another daemon has received a mark of "d2"
    When 8 requests of "can-tho" are served by daemon "d2"
    And daemon "d2" is killed
    And daemon "d2" is started again
    And all daemons serve requests
    Then the report counts 0 "good" requests of "can-tho"
    And the report says that counts of "d2" were lost in a crash

  Scenario: Without backup peers, counts are lost and no gap is reported
    Given a fleet of three daemons that count requests, as the mutant "no-backup-peers"
    When 8 requests of "can-tho" are served by daemon "d2"
    And daemon "d2" is stopped as planned
    And daemon "d2" is started again
    And all daemons serve requests
    Then the report counts 0 "good" requests of "can-tho"
    And nothing is missing from the report
