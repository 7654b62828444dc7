Feature: Engines and services that die or stand still

  The router talks to engines and services over TCP, as separate processes.
  What it says of a request must be true whatever becomes of them.

  Scenario: A decode engine is killed amid an answer
    Its VM loses power. The adviser sees the brief stop; it must not look whole.
    Given a prefill engine, a decode engine and a booking service
    And a streamed response that has begun
    When the decode engine is killed
    Then the stream breaks off without its end marker
    And resuming the stream fails before anything is executed

  Scenario: A decode engine stands still and wakes
    Its VM is suspended for a while. Once it is awake it would go on with an
    answer that nobody waits for, and hold a slot for it.
    Given a prefill engine, a decode engine and a booking service
    And a streamed response that has begun
    When the decode engine is suspended
    Then the stream breaks off without its end marker
    When the decode engine resumes and receives the cancel
    Then the decode engine holds no slot and no KV cache

  Scenario: A booking service is suspended as a booking goes out
    The kernel of a suspended process still takes the bytes. The caller gives
    up; the desk makes the booking when it wakes. Had the caller been told "not
    run", it would book again, and two families would share one appointment.
    Given a prefill engine, a decode engine and a booking service
    When the booking service is suspended
    Then a booking fails with run status "unknown"
    When the booking service resumes
    Then the booking service has made 1 booking

  Scenario: A booking service is killed while it makes a booking
    Given a prefill engine, a decode engine and a booking service
    And a slow booking in progress
    When the booking service is killed
    Then that booking fails with run status "unknown"

  Scenario: A booking service is gone before the booking
    The caller may safely ask again, and should be told so.
    Given a prefill engine, a decode engine and a booking service
    When the booking service is killed
    Then a booking fails with run status "no"
