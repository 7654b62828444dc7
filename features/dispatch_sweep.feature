Feature: Engines release the requests of entry processes that have died

  An entry process dies with requests running on engines. No process is left to
  cancel these orphans, so they keep holding slots and KV cache while new
  requests wait for memory that serves no caller.

  Scenario: An entry process is killed, another one is only paused
    A killed process and one behind a partition are both unresponsive, but
    canceling the requests of the second would truncate its responses.
    Given a VM with a prefill and a decode engine
    And an entry process "vm-a.e0.killed" with a request in each stage
    And an entry process "vm-b.e0.paused" on its own VM with a request in decode
    When entry process "vm-b.e0.paused" is paused
    And entry process "vm-a.e0.killed" is killed
    Then the engines release all resources of "vm-a.e0.killed"
    And the decode engine still holds the request of "vm-b.e0.paused"

  Scenario: The home restarts after the entry was killed
    The coordinator keeps no state across a restart, so the new process doesn't
    know the leases of its predecessor. The killed entry process never requests
    its slots again.
    Given a VM with a prefill and a decode engine
    And an entry process "vm-a.e0.killed" with a request in each stage
    When entry process "vm-a.e0.killed" is killed
    And the dispatch process of "vm-a" is killed and started again
    Then the engines release all resources of "vm-a.e0.killed"

  Scenario: Engines reject, drop and delay cancels
    After a lost cancel, the engine keeps generating for a caller that has
    disconnected, until the output is complete.
    Given a VM with a prefill and a decode engine
    And an entry process "vm-a.e0.one" with a request in each stage
    When one engine rejects 3 cancels, one drops 3, one responds late
    And cancels for all requests of "vm-a.e0.one" are sent to "vm-a"
    Then the engines release all resources of "vm-a.e0.one"

  Scenario: A coordinator shuts down with unacknowledged cancels
    The entry process that owns the request is still alive, so orphan detection
    doesn't cancel the request. The cancel has to outlive the coordinator.
    Given a VM with a prefill and a decode engine
    And a second VM "vm-b" with a decode request of entry process "vm-b.e0.one"
    When the engines drop all cancels
    And cancels for all requests of "vm-b.e0.one" are sent to "vm-a"
    And the dispatch process of "vm-a" receives SIGTERM
    And the engines work normally again
    Then the dispatch process of "vm-a" has exited with code 0
    And the engines release all resources of "vm-b.e0.one"
