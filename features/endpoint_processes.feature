Feature: Engines and services that die or stand still

  The router talks to engines and services over TCP, as separate processes.
  What it says of a request must be true whatever becomes of them.

  Scenario: A decode engine is killed amid an answer
    Its VM loses power. The adviser sees the brief stop; it must not look whole.
    Given a prefill engine, a decode engine and a booking desk
    And an answer that has begun
    When the decode engine is killed
    Then the answer is broken and has no end
    And it can't be resumed, and nothing of the resume was run

  Scenario: A decode engine stands still and wakes
    Its VM is suspended for a while. Once it is awake it would go on with an
    answer that nobody waits for, and hold a slot for it.
    Given a prefill engine, a decode engine and a booking desk
    And an answer that has begun
    When the decode engine is suspended
    Then the answer is broken and has no end
    When the decode engine wakes and gets the cancel
    Then it holds no slot and no KV cache

  Scenario: A booking desk is suspended as a booking goes out
    The kernel of a suspended process still takes the bytes. The caller gives
    up; the desk makes the booking when it wakes. Had the caller been told "not
    run", it would book again, and two families would share one appointment.
    Given a prefill engine, a decode engine and a booking desk
    When the booking desk is suspended
    Then a booking ends with run "unknown"
    When the booking desk wakes
    Then the booking desk has made 1 booking

  Scenario: A booking desk is killed while it makes a booking
    Given a prefill engine, a decode engine and a booking desk
    And a booking that takes long
    When the booking desk is killed
    Then that booking ends with run "unknown"

  Scenario: A booking desk is gone before the booking
    The caller may safely ask again, and should be told so.
    Given a prefill engine, a decode engine and a booking desk
    When the booking desk is killed
    Then a booking ends with run "no"
