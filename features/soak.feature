Feature: A soak of real processes
  Faults drawn from a seed strike daemons, instances, links and the store, in
  series and overlapping, while callers keep their connections. What callers
  and backend servers see must keep the rules throughout.

  Scenario: A seed keeps the rules
    When seed 5 is soaked for 20 s
    Then no rule was broken

  # Guards against a soak that would miss what it is made for.
  Scenario: The soak finds daemons that repeat what may have run
    When seed 5 is soaked for 20 s with the mutant "retry_unknown"
    Then the rule "at most once" was broken
