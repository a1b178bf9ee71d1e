Feature: A request on the platform, where processes find each other in the store
  Scenario: A depot counter looks up a balance
    Given a store, two targets and an entry VM as processes
    When the counter looks up an address
    And the counter reads a balance at that address
    Then it receives the complete response of a target

  Scenario: All targets are full
    Given a store, two targets and an entry VM as processes
    And all targets refuse requests
    When the counter looks up an address
    And the counter posts a refund to that address
    Then it receives a refusal: the refund was not run, and when to retry

  Scenario: One target is slow
    Given a store, two targets and an entry VM as processes
    And the first target is five times slower than usual
    When the counter looks up an address
    And the counter reads a balance at that address
    Then it receives the response of the second target

  Scenario: The store is unavailable
    Given a store, two targets and an entry VM as processes
    And the store is unavailable
    When the counter looks up an address
    And the counter reads a balance at that address
    Then it receives the complete response of a target
