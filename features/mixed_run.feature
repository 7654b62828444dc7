Feature: Faults come together while both users send requests

  Processes crash, freeze and are replaced, the platform goes away, engines and
  services misbehave, twice and together. A user would notice a lost booking, a
  doubled pickup, another's brief, or an answer that is not true.

  Scenario Outline: Seed <seed>
    When both customers' traffic runs over 3 VMs under the faults of seed <seed>
    Then each request has one outcome and each outcome is correct
    And the engines hold nothing and no revision decreased

    Examples:
      | seed |
      | 1    |
      | 2    |
