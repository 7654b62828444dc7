Feature: Entry processes drain, pause or crash without duplicate execution

  Entry processes can be replaced at any time. Callers would notice a truncated
  brief, or an appointment that is booked twice because an entry process went
  away.

  Scenario: A graceful shutdown with requests in every stage
    The platform stops the process while requests are queued, in prefill, in
    transfer and in decode and a booking is in progress. An operator sends the
    signal a second time.
    Given two VMs with an entry process each
    And a ticket of one entry process with a booking in progress
    And a brief in each stage at that entry process
    When that process receives SIGTERM twice
    Then that process is unready at once but still accepts a request
    And every brief and the booking get a complete response
    And that process has exited with code 0 and the engines hold nothing

  Scenario: An entry process is killed while requests are running
    No process is left to cancel these requests, and neither the callers nor the
    other entry process can know whether the booking was made.
    Given two VMs with an entry process each
    And a ticket of one entry process with a booking in progress
    And a brief in each stage at that entry process
    When that process is killed
    And the caller retries the booking at the other entry process
    Then the response says that the outcome is unknown
    And the booking service has booked at most once
    And the engines eventually hold nothing

  Scenario: An entry process that was paused doesn't use its expired leases
    The leases expire during the pause, while a prefill is running. The
    coordinator has leased the slot to another entry process, so a decode
    would exceed the engine's slots.
    Given two VMs with an entry process each
    And a brief in prefill at one entry process
    When that process and the coordinators are paused past its leases
    Then that process starts no decode for that prefill
    And the caller gets a complete response or an error with Retry-After

  Scenario: A ticket's owner is paused and the caller retries elsewhere
    The paused entry process may have made the booking and may still resume.
    Given two VMs with an entry process each
    And a ticket of one entry process with a booking in progress
    When that process is paused
    And the caller retries the booking at the other entry process
    Then the response says that the outcome is unknown
    And the resumed owner returns the booking or an unknown outcome
    And the booking service has booked at most once
