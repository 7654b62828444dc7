Feature: A paused coordinator can't roll back an engine when it resumes

  Operators publish a new model version while one VM is paused. After resuming,
  the VM still has the old settings and VM list and acts as the engine's
  coordinator. If its order were accepted, the engine would serve the old
  version until someone noticed.

  Scenario: The old coordinator resumes with the old revision and VM list
    One engine checks fencing tokens, the other accepts every order.
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
