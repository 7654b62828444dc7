Feature: Endpoints that limit their requests

  An endpoint in need names in its answers how many requests a second it takes from
  all callers together. The VMs keep the limit together and refuse at once what
  no endpoint can take in time.

  Scenario: All servers of a service limit their requests
    Given 2 VMs before engines and plain services
    When all servers of a service name a limit of 2 requests a second
    And both VMs know the limits
    And callers send requests to both VMs for 4 seconds
    Then the servers got no more requests than their limits allow
    And the other callers were refused with a time to come back
    When the servers name no limit any more
    Then both VMs serve all callers again

  Scenario: All decode engines of a pool limit their requests
    Given 2 VMs before engines and plain services
    When all decode engines name a limit of 2 requests a second
    And both VMs know the limits
    And callers send requests to both VMs for 4 seconds
    Then the servers got no more requests than their limits allow
    When the servers name no limit any more
    Then both VMs serve all callers again
