Feature: Service-level burn
  The report says who spent the error budget and why. Counts survive a
  daemon's planned restart; what a crash has taken is named.

  Scenario: The report names who spent the budget, and why
    Given a fleet of three daemons that counts
    When 8 requests of "can-tho" are served by daemon "d1"
    And instance "ledger-1" fails every request
    And 40 requests of "can-tho" are failed by daemon "d2"
    And "da-lat" requests "/ledger/x" from daemon "d3" 30 times at once
    Then the report counts 8 "good" requests of "can-tho"
    And the report counts 40 "failed" requests of "can-tho"
    And the report counts more than 20 "overRate" requests of "da-lat"
    And the report names "can-tho" first among those who spent the budget
    And the report names "failed" first among the causes
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
    Given a fleet of three daemons that counts, as the mutant "no-keepers"
    When 8 requests of "can-tho" are served by daemon "d2"
    And daemon "d2" is stopped as planned
    And daemon "d2" is started again
    And every daemon serves
    Then the report counts 0 "good" requests of "can-tho"
    And nothing is missing from the report
