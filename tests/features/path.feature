Feature: A caller sends a request and receives the response of a target
  Scenario: A moderator reads a queue
    Given a fleet with three targets and the tables applied
    When a moderator looks up an address for the queue
    And the moderator reads the queue at that address
    Then the moderator receives the complete response to its own request

  Scenario: A ban is sent twice
    Given a fleet with three targets and the tables applied
    When a moderator looks up an address for the queue
    And the moderator sends the same ban twice
    Then both responses are the same
    And the ban ran once

  Scenario: A target is drained
    Given a fleet with three targets and the tables applied
    When an operator drains one of the targets
    And a moderator looks up an address for the queue
    And the moderator reads the queue at that address 20 times
    Then the drained target ran no request

  Scenario: No route matches a request
    Given a fleet with three targets and the tables applied
    When a moderator looks up an address for the queue
    And the moderator reads a path that no route matches
    Then the moderator receives an error that states that the request was not run
