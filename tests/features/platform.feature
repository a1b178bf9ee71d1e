Feature: A request on a platform, over processes that know only the store
  Scenario: A depot counter looks up a balance
    Given a store, two targets and an entry VM as processes
    When the counter asks which address to use
    And the counter reads a balance there
    Then it gets the whole answer of a target

  Scenario: All targets are full
    Given a store, two targets and an entry VM as processes
    And all targets refuse work
    When the counter asks which address to use
    And the counter posts a refund there
    Then it is told that the refund was not run, and when to come back

  Scenario: One target is slow just now
    Given a store, two targets and an entry VM as processes
    And the first target takes five times longer
    When the counter asks which address to use
    And the counter reads a balance there
    Then the second target answered

  Scenario: The store is away
    Given a store, two targets and an entry VM as processes
    And the store is away
    When the counter asks which address to use
    And the counter reads a balance there
    Then it gets the whole answer of a target
