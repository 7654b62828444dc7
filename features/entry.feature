Feature: Entry processes leave, freeze and die without cutting or repeating

  Entry processes are replaced at any time. A family's brief that is cut, or an
  appointment that is booked twice because its entry went away, is what a user
  notices.

  Scenario: A graceful shutdown with requests in every stage
    The platform ends the process while requests wait, prefill, transfer and
    decode and a booking is made; an impatient operator repeats the signal.
    Given two VMs with an entry process each
    And a ticket of one entry process whose booking is under way
    And a brief in each stage, all at that entry process
    When that process is told twice to stop
    Then it is not ready at once but still takes a request
    And every brief and the booking get their whole answer
    And the process has ended with code 0 and its engines hold nothing

  Scenario: An entry is killed amid its requests
    Nobody is left to cancel what it had begun, and neither its callers nor the
    other entry can know whether the booking was made.
    Given two VMs with an entry process each
    And a ticket of one entry process whose booking is under way
    And a brief in each stage, all at that entry process
    When that process is killed
    And the caller repeats the booking at the other entry process
    Then it is told that the outcome is unknown
    And the desk has booked at most once
    And the engines hold nothing after a while

  Scenario: An entry that was frozen doesn't act on its old leases
    It sleeps through the end of its leases with a prefill under way. Its home
    has given the slot to another entry, so a decode would be one too many.
    Given two VMs with an entry process each
    And a brief whose prefill is under way at one entry process
    When it and the homes are frozen until its leases have run out
    Then it starts no decode for that prefill
    And its caller gets the whole answer or is told to come back

  Scenario: The owner of a ticket is frozen and its caller asks another entry
    The owner may have made the booking and may yet wake up.
    Given two VMs with an entry process each
    And a ticket of one entry process whose booking is under way
    When that process is frozen
    And the caller repeats the booking at the other entry process
    Then it is told that the outcome is unknown
    And the owner's caller is told its answer or that it is unknown
    And the desk has booked at most once
