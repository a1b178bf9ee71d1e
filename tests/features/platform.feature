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

  Scenario: A target leaves while the store is unavailable
    Given a store, two targets and an entry VM as processes
    And the store is unavailable
    When the caller looks up an address
    And the first target states that it leaves
    And the caller reads balances for longer than the drain time
    Then the caller received a complete response each time
    And no request reached the first target later than the drain time

  Scenario: A target that left starts again under its identity
    Given a store, two targets and an entry VM as processes
    When the caller looks up an address
    And the first target states that it leaves
    And the caller reads balances for longer than the drain time
    Then no request reached the first target later than the drain time
    When the first target starts again under its identity
    Then requests of the caller reach the first target

  Scenario: All targets decline requests for two seconds
    Given a store, two targets and an entry VM as processes
    And all targets decline requests for two seconds
    When the caller looks up an address
    And the caller reads a balance until all targets have declined
    And the caller reads a balance at that address
    Then the caller is refused until the targets want requests again
    And at most two requests reach each target before that
    When all targets accept requests
    And the caller returns when it was told to
    Then the caller receives the complete response of a target
