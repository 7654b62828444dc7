Feature: Entry processes leave, freeze and die without cutting or repeating

  Entry processes are replaced at any time. A family's brief that is cut, or an
  appointment that is booked twice because its entry went away, is what a user
  notices.

  Scenario: A graceful shutdown with requests in every stage
    The platform ends the process while requests wait, prefill, transfer and
    decode and a booking is made; an impatient operator repeats the signal.
    Given two VMs with an entry process each
    And a ticket of one entry process with a booking in progress
    And a brief in each stage at that entry process
    When that process receives SIGTERM twice
    Then that process is unready at once but still accepts a request
    And every brief and the booking get a complete response
    And that process has exited with code 0 and the engines hold nothing

  Scenario: An entry is killed amid its requests
    Nobody is left to cancel what it had begun, and neither its callers nor the
    other entry can know whether the booking was made.
    Given two VMs with an entry process each
    And a ticket of one entry process with a booking in progress
    And a brief in each stage at that entry process
    When that process is killed
    And the caller retries the booking at the other entry process
    Then the response says that the outcome is unknown
    And the booking service has booked at most once
    And the engines eventually hold nothing

  Scenario: An entry that was frozen doesn't act on its old leases
    It sleeps through the end of its leases with a prefill under way. Its home
    has given the slot to another entry, so a decode would be one too many.
    Given two VMs with an entry process each
    And a brief in prefill at one entry process
    When that process and the coordinators are paused past its leases
    Then that process starts no decode for that prefill
    And the caller gets a complete response or an error to retry

  Scenario: The owner of a ticket is frozen and its caller asks another entry
    The owner may have made the booking and may yet wake up.
    Given two VMs with an entry process each
    And a ticket of one entry process with a booking in progress
    When that process is paused
    And the caller retries the booking at the other entry process
    Then the response says that the outcome is unknown
    And the resumed owner returns the booking or an unknown outcome
    And the booking service has booked at most once
