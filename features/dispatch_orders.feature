Feature: An engine isn't turned back by a home that wakes

  Operators move a model to a new version while one VM is paused. When it wakes
  it still believes in the old settings and in being the engine's home. If its
  order were taken, the engine would answer with the old version until someone
  noticed.

  Scenario: The old home wakes with the old revision and VM list
    One engine checks fencing numbers, the other takes whatever it is told.
    Given two VMs and the engines "checks" and "trusts" at version "v1"
    When the coordinator of the engines is paused
    And the platform unlists that VM and version "v2" is published
    Then the other VM orders both engines to version "v2"
    When the old coordinator resumes but its settings process is still paused
    Then the old coordinator withholds its orders with reason "behind"
    And the old coordinator has sent no order since its pause
    When a delayed order of the old coordinator arrives
    Then only the engine "trusts" accepts that order
    And the other VM orders both engines to version "v2"
    And the audit trail contains every order with its revision
