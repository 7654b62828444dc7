Feature: An engine isn't turned back by a home that wakes

  Operators move a model to a new version while one VM is paused. When it wakes
  it still believes in the old settings and in being the engine's home. If its
  order were taken, the engine would answer with the old version until someone
  noticed.

  Scenario: The old home wakes with the old revision and VM list
    One engine checks fencing numbers, the other takes whatever it is told.
    Given two VMs and the engines "checks" and "trusts" at version "v1"
    When the home of the engines is paused
    And the platform's list drops it and version "v2" is published
    Then both engines are ordered to version "v2" by the other VM
    When the old home wakes, its settings process still paused
    Then the old home holds its orders back because it is "behind"
    And the old home has sent no order since its pause
    When an order of the old home that was delayed on the way arrives
    Then only the engine "trusts" takes it
    And both engines are ordered to version "v2" by the other VM
    And every order stands in the audit trail with its revision
