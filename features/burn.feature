Feature: Service-level burn
  The report says who spent the error budget and why. Counts survive a
  daemon's planned restart; what a crash has taken is named.

  Scenario: The report names who spent the budget, and why
    Given a fleet of three daemons that counts
    When "da-lat" requests from daemon "d3" until 10 answers are 429
    Then the report counts each answer 429 as a "overRate" request of "da-lat"
    When instance "ledger-1" fails every request
    And "can-tho" requests from daemon "d2" until 3 answers are 500
    Then the report counts what "can-tho" was answered
    And the report tells what "can-tho" spent, the largest shares first
    And the budget is spent and the alert is "page"
    And nothing is missing from the report
    And the page of the report needs nothing from outside

  Scenario: Counts survive a planned restart
    Given a fleet of three daemons that counts
    When 8 requests of "can-tho" are served by daemon "d2"
    And daemon "d2" is stopped as planned
    Then the report counts 8 "good" requests of "can-tho"
    And nothing is missing from the report
    When daemon "d2" is started again
    And every daemon serves
    And 2 requests of "can-tho" are served by daemon "d2"
    Then the report counts 10 "good" requests of "can-tho"
    And nothing is missing from the report

  Scenario: After a crash the report names the time that is missing
    Given a fleet of three daemons that counts
    And the others know that "d2" counts
    When 8 requests of "can-tho" are served by daemon "d2"
    And daemon "d2" is killed
    And daemon "d2" is started again
    And every daemon serves
    Then the report counts 0 "good" requests of "can-tho"
    And the report says that counts of "d2" were lost in a crash

  Scenario: Without keepers the counts would be lost, and nobody would know
    Given a fleet of three daemons that counts, as the mutant "no-backup-peers"
    When 8 requests of "can-tho" are served by daemon "d2"
    And daemon "d2" is stopped as planned
    And daemon "d2" is started again
    And every daemon serves
    Then the report counts 0 "good" requests of "can-tho"
    And nothing is missing from the report
