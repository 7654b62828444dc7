Feature: VMs are replaced one after the other under load

  Operators roll out a new version VM by VM. A process that ended at once would
  cut the briefs it streams and the bookings it waits for; a user would see half
  an answer, or a refusal although other VMs had room.

  Scenario: Every VM is replaced while both users send requests
    In the middle an impatient operator repeats the signal, and the platform's
    service goes down for a while.
    Given 3 VMs under both customers' traffic
    When each VM in turn is drained, replaced and listed again
    Then every request not dropped by its caller got a complete response
    And each process exited with code 0
