Feature: Accepted settings stay in force

  Operators publish settings on a platform that is sometimes down or stale. An
  accepted revision must be in force on every VM within seconds. No older
  revision may ever replace it.

  Scenario: The platform flaps and is slow while revisions are published
    Three of four calls to the platform are aborted, and later all are slow. If
    a VM gave up or waited too long, the VM would keep the old settings while
    other VMs use the new ones.
    Given a platform and 3 VMs with revision 1 in force
    When each platform aborts 3 of 4 calls
    And revision 2 is published
    Then revision 2 comes into force on every VM
    When each platform responds after 1 second
    And revision 3 is published
    Then revision 3 comes into force on every VM
    And the revision in force never decreased on any VM

  Scenario: One VM's replica of the platform is stale, and later hangs
    The stale replica serves an old revision without an error, so its VM could
    revert the settings or miss new ones. Later the replica accepts calls but
    never responds, so a VM that relied on the replica alone would never receive
    revision 3, although its peers have it.
    Given 2 platforms and 3 VMs with revision 1 in force
    When platform 1 becomes stale
    And revision 2 is published
    Then revision 2 comes into force on every VM
    And the VM at platform 1 reports that the platform offers an older revision
    When platform 1 accepts calls but never responds
    And revision 3 is published
    Then revision 3 comes into force on every VM
    When platform 1 works again
    And revision 4 is published
    Then revision 4 comes into force on every VM
    And the revision in force never decreased on any VM

  Scenario: A VM starts while the platform is down
    VMs can be replaced at any time. A VM that needed the platform in order to
    start would be missing when capacity is short.
    Given a platform and 2 VMs with revision 1 in force
    And revision 2 is published and in force
    When each platform is down
    And a VM starts
    Then revision 2 comes into force on every VM
    And the new VM is ready and knows 2 VMs

  Scenario: A VM starts with a stale platform
    The new VM's replica has only revision 1, while the VM's peers have already
    replaced it. The new VM would apply the old settings to its callers.
    Given 2 platforms and 2 VMs with revision 1 in force
    When platform 1 becomes stale
    And revision 2 is published
    And revision 2 is in force on the VMs started so far
    And a VM starts at platform 1
    Then the new VM first serves revision 2 to local processes

  Scenario: Invalid values on the platform
    The platform holds a truncated, oversized or inconsistent value. A VM that
    accepted such a value, or crashed on it, would take the service down. The
    last valid revision has to stay in force until a valid one is published.
    Given a platform and 3 VMs with revision 1 in force
    Then the VMs stay at revision 1 and log the reason for each value
      | value                      | logged              |
      | half a head                | value_invalid       |
      | a head above a megabyte    | platform_trouble    |
      | bytes that are not JSON    | value_invalid       |
      | an invalid tree            | settings_refused    |
      | a part above a megabyte    | settings_incomplete |
      | a part of another revision | settings_incomplete |
    When the platform is repaired and holds revision 3
    Then revision 3 comes into force on every VM

  Scenario: Two operators publish the same revision concurrently
    Each replica of the platform holds a different revision 2. If each VM kept
    the one that it read first, VMs would send conflicting orders forever.
    Given 2 platforms and 3 VMs with revision 1 in force
    When operators publish different revisions 2 on platforms 0 and 1
    Then one of the two revisions 2 is in force on every VM
    And the audit trail of a VM contains the conflict
    When revision 3 is published
    Then revision 3 comes into force on every VM

  Scenario: An operator publishes a revision that is already in force
    The operator's tool reports that revision 2 is published. VMs that only
    watch for higher revisions would never notice the conflict, so the operator
    would believe that the change is in force.
    Given a platform and 2 VMs with revision 1 in force
    And revision 2 is published and in force
    When another operator publishes his revision 2
    Then every VM reports the conflict
    And one of the two revisions 2 is in force on every VM
    And the audit command shows who published revision 2

  Scenario: A partition splits the VMs while both halves receive revisions
    Each half reads its own replica of the platform and knows only its own VMs.
    After the partition, neither half may revert the other to an older revision.
    Given 2 platforms and 4 VMs with revision 1 in force
    When the VM list of each half contains only that half
    And operators publish different revisions 2 on platforms 0 and 1
    And revision 3 is published on platform 0 only
    And platform 1 becomes stale
    And all VMs are in every VM list again
    Then revision 3 comes into force on every VM
    And the revision in force never decreased on any VM

  Scenario: A settings process is replaced by one with an older revision
    Neither a peer nor the platform offers revision 2 to the new process. If an
    entry process on the same VM applied the settings of the new process, the
    entry process would go back to revision 1.
    Given a platform and 1 VMs with revision 1 in force
    And revision 2 is published and in force
    And an entry process on VM 0 follows the settings, at revision 2
    When the platform reverts to revision 1
    And the settings process of VM 0 is replaced
    Then the entry process is offered revision 1 and rejects it
    When the platform works again with revision 3
    Then the entry process applies revision 3 after revision 2

  Scenario: A paused VM resumes
    The process is paused before revisions 2 and 3 and resumes after them, with
    revision 1 as the newest that it has received.
    Given a platform and 3 VMs with revision 1 in force
    When VM 2 is paused
    And revision 2 is published
    And revision 3 is published
    And VM 2 resumes
    Then revision 3 comes into force on every VM
    And the revision in force never decreased on any VM

  Scenario: Leaving endpoints, from the VM list and from leaving notices
    An endpoint whose VM is leaving still responds, but may not complete new
    requests. Another endpoint rejects calls because it is shutting down, which
    the VM list doesn't show because the platform is down. Without leaving
    notices between VMs, every VM would send calls to the endpoint until its
    first rejection.
    Given a platform and 3 VMs with revision 1 in force
    When the VM list marks brief-d2-vm as leaving
    Then every VM reports that brief-d2 is leaving
    When each platform is down
    And a process on VM 0 reports that brief-d1 is leaving for 2 seconds
    Then every VM reports that brief-d1 is leaving
    And every VM uses brief-d1 again later

  Scenario: An unauthenticated peer announces a revision
    Without authentication, anyone who can reach a VM's port could make the VM
    read settings from a host of their choice.
    Given a platform and 1 VMs with revision 1 in force
    When an unauthenticated peer announces revision 9
    Then the VM rejects the unauthenticated peer
    And revision 1 is still in force on every VM
