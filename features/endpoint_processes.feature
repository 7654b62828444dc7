Feature: Engines and services that crash or are suspended

  The router calls engines and services, which are separate processes, over TCP.
  The outcome that it reports for a request must be correct whatever happens to
  these processes.

  Scenario: A decode engine is killed while it streams a response
    The engine's VM loses power. The truncated stream must not look complete to
    the caller.
    Given a prefill engine, a decode engine and a booking service
    And a streamed response that has begun
    When the decode engine is killed
    Then the stream breaks off without its end marker
    And resuming the stream fails before anything is executed

  Scenario: A decode engine is suspended and resumes
    The engine's VM is suspended for a while. After resuming, the engine would
    continue to generate for a caller that has given up, and hold a slot for it.
    Given a prefill engine, a decode engine and a booking service
    And a streamed response that has begun
    When the decode engine is suspended
    Then the stream breaks off without its end marker
    When the decode engine resumes and receives the cancel
    Then the decode engine holds no slot and no KV cache

  Scenario: A booking service is suspended when a booking is sent
    The kernel still accepts data for a suspended process. The call times out,
    yet the service executes the booking after resuming. If the error said that
    the request was not executed, the caller would retry and book twice.
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

  Scenario: A booking service is killed before the booking is sent
    The caller can safely retry, and the error must say so.
    Given a prefill engine, a decode engine and a booking service
    When the booking service is killed
    Then a booking fails with run status "no"
