Feature: Requests that end the engines which begin to run them

  A request may end each engine that begins to run it, and its caller sends it
  again, to any VM. Without a limit one request ends all engines of a pool, and
  with them the streams of all other callers.

  Scenario: A request is sent again after it has ended three engines
    Given 2 VMs and engines that end when they begin to run one request
    When that request is sent to the VMs in turn until 3 engines have ended
    And both VMs have quarantined it
    Then both VMs refuse it without another engine ending
    And another request of the same customer is completed

  Scenario: Different chats share a message that ends engines
    Given 2 VMs and engines that end when they begin to run one request
    And a chat of the same customer without it has been completed
    When different chats with one message are sent in turn until 3 engines have ended
    And both VMs have quarantined the message
    Then both VMs refuse other chats with it without another engine ending
    And a chat of the same customer without it is completed
