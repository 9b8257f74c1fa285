Feature: Instances that name a rate limit, or say that they leave
  An instance in need names in its responses how many requests per second it
  takes from all callers together. One that leaves says so as well.

  Background:
    Given a mesh fleet of 3 VMs with 2 slots each

  Scenario: The limit that an instance names is logged and exported
    Given the instance of VM 0 names a limit of "2.5" per second
    When callers send 9 requests to "/once/", spread over all VMs
    Then the log has the limit 2.5 of the instance of VM 0
    And VM 0 exports a limit of "2.5" per second

  Scenario: A limit that is not a number is logged and changes nothing
    Given the instance of VM 0 names a limit of "many" per second
    When callers send 9 requests to "/once/", spread over all VMs
    Then the log has an invalid limit "many"
    And VM 0 exports no limit

  Scenario: That an instance leaves is logged
    Given the instance of VM 0 says that it leaves
    When callers send 9 requests to "/once/", spread over all VMs
    Then the log tells that the instance of VM 0 leaves
