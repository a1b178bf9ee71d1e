Feature: A request goes from a caller to a target and back
  Scenario: A moderator reads a queue
    Given a fleet with three targets and the tables applied
    When a moderator asks which address to use for the queue
    And the moderator reads the queue there
    Then the moderator gets the whole answer to its own request

  Scenario: A ban is sent twice
    Given a fleet with three targets and the tables applied
    When a moderator asks which address to use for the queue
    And the moderator sends the same ban twice
    Then both answers are the same
    And the ban ran once

  Scenario: A target that is leaving
    Given a fleet with three targets and the tables applied
    When an operator drains one of the targets
    And a moderator asks which address to use for the queue
    And the moderator reads the queue there 20 times
    Then the drained target ran nothing

  Scenario: A route that does not exist
    Given a fleet with three targets and the tables applied
    When a moderator asks which address to use for the queue
    And the moderator reads what no route serves
    Then the moderator is told that the request was not run
