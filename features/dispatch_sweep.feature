Feature: Engines hold nothing for callers whose entry is gone

  An entry process dies with requests at its engines. Nobody is left to cancel
  them, so they go on holding slots and KV cache, and the next family's brief
  waits for memory that works for no one.

  Scenario: An entry process is killed, another one is only paused
    A killed process and one behind a partition are both silent towards their
    callers. Cancelling for the second would cut its answers in the middle.
    Given a VM with a prefill and a decode engine
    And an entry process "vm-a.e0.killed" with a request in each stage
    And an entry process "vm-b.e0.paused" on its own VM with a request in decode
    When entry process "vm-b.e0.paused" is paused
    And entry process "vm-a.e0.killed" is killed
    Then the engines release all resources of "vm-a.e0.killed"
    And the decode engine still holds the request of "vm-b.e0.paused"

  Scenario: The home restarts after the entry was killed
    The home keeps nothing: what its forerunner knew is lost, while the entry
    never asks for its slots again.
    Given a VM with a prefill and a decode engine
    And an entry process "vm-a.e0.killed" with a request in each stage
    When entry process "vm-a.e0.killed" is killed
    And the dispatch process of "vm-a" is killed and started again
    Then the engines release all resources of "vm-a.e0.killed"

  Scenario: Engines refuse, lose and delay cancel orders
    A cancel order that is lost leaves the engine working for a caller who has
    hung up, until its answer is complete.
    Given a VM with a prefill and a decode engine
    And an entry process "vm-a.e0.one" with a request in each stage
    When one engine rejects 3 cancels, one drops 3, one responds late
    And cancels for all requests of "vm-a.e0.one" are sent to "vm-a"
    Then the engines release all resources of "vm-a.e0.one"

  Scenario: A home leaves with cancels that no engine has acknowledged
    The order's owner lives on, so that no sweep would take the request for an
    orphan; the order itself has to survive the home.
    Given a VM with a prefill and a decode engine
    And a second VM "vm-b" whose entry process "vm-b.e0.one" has a request in decode
    When the engines drop all cancels
    And cancels for all requests of "vm-b.e0.one" are sent to "vm-a"
    And the dispatch process of "vm-a" receives SIGTERM
    And the engines work normally again
    Then the dispatch process of "vm-a" has exited with code 0
    And the engines release all resources of "vm-b.e0.one"
