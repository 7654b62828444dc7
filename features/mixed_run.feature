Feature: Concurrent faults while both customers send requests

  Processes crash, pause and are replaced, the platform becomes unavailable, and
  engines and services misbehave, each twice and several at once. Guards against
  lost bookings, duplicate pickups, responses that belong to another request and
  reported outcomes that are wrong.

  Scenario Outline: Seed <seed>
    When both customers' traffic runs over 3 VMs under the faults of seed <seed>
    Then each request has one outcome and each outcome is correct
    And the engines hold nothing and no revision decreased

    Examples:
      | seed |
      | 1    |
      | 2    |
