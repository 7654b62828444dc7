Feature: Accepted settings stay in force

  Operators publish settings on a platform that is at times down or stale. What
  every VM has accepted must be in force everywhere within seconds and never
  give way to something older.

  Scenario: The platform flaps and is slow while revisions are published
    Three of four calls to the platform are cut, and later all are slow. A VM
    that gave up, or waited for long, would go on with the old rules while
    others use the new ones.
    Given a platform and 3 VMs with revision 1 in force
    When each platform aborts 3 of 4 calls
    And revision 2 is published
    Then revision 2 comes into force on every VM
    When each platform responds after 1 second
    And revision 3 is published
    Then revision 3 comes into force on every VM
    And the revision in force never decreased on any VM

  Scenario: One VM's replica of the platform is stale, and later hangs
    The replica answers with an old revision, as if nothing had happened. Its VM
    would turn the settings back, or miss new ones. Later it takes calls and
    never answers, so that a VM which only waited would never hear of revision
    3, although its peers know it.
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
    VMs are replaced at any time. One that could start only with the platform up
    would be missing just when capacity is short.
    Given a platform and 2 VMs with revision 1 in force
    And revision 2 is published and in force
    When each platform is down
    And a VM starts
    Then revision 2 comes into force on every VM
    And the new VM is ready and knows 2 VMs

  Scenario: A VM starts with a stale platform
    The new VM's replica knows only revision 1, which its peers replaced. Its
    callers would meet the old rules.
    Given 2 platforms and 2 VMs with revision 1 in force
    When platform 1 becomes stale
    And revision 2 is published
    And revision 2 is in force on the VMs started so far
    And a VM starts at platform 1
    Then the new VM first serves revision 2 to local processes

  Scenario: Values that can't be used
    The platform holds half a value, or one that doesn't fit. A VM that took it,
    or died of it, would take the service down; the last good revision has to
    stay until a good one comes.
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

  Scenario: Two operators publish one number at once
    Each replica of the platform holds another revision 2. Were each VM to keep
    the first that it saw, VMs would give different orders for ever.
    Given 2 platforms and 3 VMs with revision 1 in force
    When operators publish different revisions 2 on platforms 0 and 1
    Then one of the two revisions 2 is in force on every VM
    And the audit trail of a VM contains the conflict
    When revision 3 is published
    Then revision 3 comes into force on every VM

  Scenario: A second operator publishes a number that is already in force
    His tool tells him that revision 2 is published. A watch for higher numbers
    never shows it, so he would believe that his change is in force.
    Given a platform and 2 VMs with revision 1 in force
    And revision 2 is published and in force
    When another operator publishes his revision 2
    Then every VM reports the conflict
    And one of the two revisions 2 is in force on every VM
    And the audit command shows who published revision 2

  Scenario: A partition splits the VMs while both halves get revisions
    Each half reads its own replica of the platform and knows only its own VMs.
    After the partition a half must not turn the other back.
    Given 2 platforms and 4 VMs with revision 1 in force
    When the VM list of each half contains only that half
    And operators publish different revisions 2 on platforms 0 and 1
    And revision 3 is published on platform 0 only
    And platform 1 becomes stale
    And all VMs are in every VM list again
    Then revision 3 comes into force on every VM
    And the revision in force never decreased on any VM

  Scenario: A settings process is replaced by one that knows less
    The new process finds neither a peer nor a platform that knows revision 2.
    An entry on the same VM that followed it would go back to revision 1.
    Given a platform and 1 VMs with revision 1 in force
    And revision 2 is published and in force
    And an entry process on VM 0 follows the settings, at revision 2
    When the platform reverts to revision 1
    And the settings process of VM 0 is replaced
    Then the entry process is offered revision 1 and rejects it
    When the platform works again with revision 3
    Then the entry process applies revision 3 after revision 2

  Scenario: A paused VM wakes up
    The process is stopped before revisions 2 and 3 and goes on after them,
    believing that revision 1 is the newest.
    Given a platform and 3 VMs with revision 1 in force
    When VM 2 is paused
    And revision 2 is published
    And revision 3 is published
    And VM 2 resumes
    Then revision 3 comes into force on every VM
    And the revision in force never decreased on any VM

  Scenario: Leaving endpoints, by the VM list and by news
    An endpoint whose VM leaves still answers, but what it is given now may be
    cut. Another refuses calls because it is shutting down while the platform is
    down, so the list doesn't say so; without news each VM would have to be
    refused by itself first.
    Given a platform and 3 VMs with revision 1 in force
    When the VM list marks brief-d2-vm as leaving
    Then every VM reports that brief-d2 is leaving
    When each platform is down
    And a process on VM 0 reports that brief-d1 is leaving for 2 seconds
    Then every VM reports that brief-d1 is leaving
    And every VM uses brief-d1 again later

  Scenario: A stranger announces a revision
    Anyone who reaches a VM's port could make it read settings from his host.
    Given a platform and 1 VMs with revision 1 in force
    When an unauthenticated peer announces revision 9
    Then the VM rejects the unauthenticated peer
    And revision 1 is still in force on every VM
