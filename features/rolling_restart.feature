Feature: Rolling restart of all VMs under load

  Operators roll out a new version VM by VM. A process that exited without
  draining would interrupt the streams and bookings in progress. Callers would
  get truncated responses, or rejections although other VMs had capacity.

  Scenario: Every VM is replaced while both customers send requests
    An operator sends SIGTERM a second time to each process, and the platform's
    service is unavailable while one of the VMs drains.
    Given 3 VMs under both customers' traffic
    When each VM in turn is drained, replaced and listed again
    Then every request not dropped by its caller got a complete response
    And each process exited with code 0
