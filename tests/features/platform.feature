Feature: A request on the platform, where processes find each other in the store
  The caller is a counter of a depot. It reads balances and posts refunds.

  Scenario: A caller reads a balance
    Given a store, two targets and an entry VM as processes
    When the caller looks up an address
    And the caller reads a balance at that address
    Then the caller receives the complete response of a target

  Scenario: All targets are full
    Given a store, two targets and an entry VM as processes
    And all targets refuse requests
    When the caller looks up an address
    And the caller posts a refund to that address
    Then the refund is refused without being run, and the response states when to retry

  Scenario: One target is slow
    Given a store, two targets and an entry VM as processes
    And the first target is five times slower than usual
    When the caller looks up an address
    And the caller reads a balance at that address
    Then the caller receives the response of the second target

  Scenario: The store is unavailable
    Given a store, two targets and an entry VM as processes
    And the store is unavailable
    When the caller looks up an address
    And the caller reads a balance at that address
    Then the caller receives the complete response of a target
