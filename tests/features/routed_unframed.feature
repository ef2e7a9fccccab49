Feature: Streams that end with their connection, and engines that fall silent for a moment

  Background:
    Given a platform store with document 5
    And an engine "planner-1" of "planner" in "lagos"
    And a routed daemon "a" in "lagos"

  # Guards against an answer without length or chunks that passes for whole though it broke off.
  Scenario: A stream without a length that ends after an event is whole
    When "planner-1" has fault "unframed"
    And a plan of 20 events is streamed through "a"
    Then the plan is whole

  Scenario Outline: A stream without a length that <breaks> does not look complete
    When "planner-1" has fault "<fault>"
    And a plan of 20 events is streamed through "a"
    Then the plan ends after event <last> and does not look complete

    Examples:
      | breaks                | fault          | last |
      | ends inside an event  | unframed_half  | 20   |
      | is reset              | reset_unframed | 20   |

  Scenario: A stream without a length that ends inside its first event is a failure
    When "planner-1" has fault "unframed_early"
    And a plan of 20 events is streamed through "a"
    Then the plan is answered 502 before its first event

  # Guards against an answer without a single event that passes for a whole stream.
  Scenario: A stream without a length that ends before its first event is a failure
    When "planner-1" has fault "unframed_empty"
    And a plan of 20 events is streamed through "a"
    Then the plan is answered 502 before its first event

  # Guards against giving up a sound engine that is silent for a second or so.
  Scenario Outline: An engine that is silent for <seconds> s keeps its run, also where there is a copy
    Given an engine "planner-2" of "planner" in "lagos" that is listed last
    When a plan of 600 events is streamed through "a"
    And the run is copied to "planner-2"
    And "planner-1" is frozen for <seconds> s
    Then the plan is whole
    And the run was on "planner-1" only

    Examples:
      | seconds |
      | 1.2     |
      | 1.7     |

  # Guards against a time-out of the kernel's that gives up connections which keep-alive would hold.
  Scenario: No connection of a daemon has a user time-out
    When a plan of 200 events is streamed through "a"
    Then no connection that a daemon opens or accepts has TCP_USER_TIMEOUT set
