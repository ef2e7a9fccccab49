Feature: A stream without length or chunks is complete only if its engine has ended its run

  Background:
    Given a platform store with document 5
    And an engine "planner-1" of "planner" in "lagos"
    And a routed daemon "a" in "lagos"
    And the engines' streams come without length or chunks
    And an engine "planner-2" of "planner" in "lagos" that is listed last

  # Guards against a part of a stream that the caller takes for all of it: the last move stops the
  # run, and the engine closes the stream without its end.
  Scenario Outline: A stream whose run is stopped by its last move goes on, where the engine <manner>
    Given "planner-1", ordered to stop a run, <manner>
    When a plan of 400 events is streamed through "a"
    And after 20 events "planner-1" is listed as "draining"
    Then the plan is whole
    And the run went on at "<second>"

    Examples:
      | manner        | second    |
      | closes first  | planner-2 |
      | answers first | planner-2 |
      | never answers | planner-2 |

  # Guards against the same, where the engine keeps the run that it has stopped.
  Scenario: A stream whose run is stopped by its last move, and kept there, goes on
    Given "planner-1", ordered to stop a run, keeps the run
    When a plan of 400 events is streamed through "a"
    And after 20 events "planner-1" is listed as "draining"
    Then the plan is whole
    And the run went on at "planner-1" itself, and then at "planner-2"

  # Guards against a stream that the death of its engine ends between two events.
  Scenario: A stream whose engine is killed does not look complete
    When a plan of 400 events is streamed through "a"
    And after 20 events "planner-1" is killed
    Then the plan breaks off and does not look complete

  # Guards against the same, where there is a copy to go on from.
  Scenario: A stream whose engine is killed goes on from its copy
    When a plan of 600 events is streamed through "a"
    And the run is copied to "planner-2"
    And "planner-1" is killed
    Then the plan is whole
    And the run went on at "planner-2"

  # Guards against a part that looks complete to a caller who knows no chunks: there, too, the end
  # of the connection is the only end of the answer.
  Scenario: A stream for a caller of HTTP/1.0 whose engine is killed is reset
    When a plan of 400 events is streamed through "a" to a caller of HTTP/1.0
    And after 20 events "planner-1" is killed
    Then the connection of that caller is reset after whole events

  # Guards against a caller who waits for the end of an answer that has been written.
  Scenario Outline: A whole stream for a caller of HTTP/1.0 <connection> ends its connection
    When a plan of 40 events is streamed through "a" to a caller of HTTP/1.0 <connection>
    Then that caller has 40 events, and the connection has ended

    Examples:
      | connection           |
      | that closes          |
      | that asks to keep it |

  # Guards against taking a whole stream for a stopped one.
  Scenario: A run that ends by itself while it is being moved is whole
    Given "planner-1" takes 1 s to copy a run
    And "planner-1" ends every run after event 100
    When a plan of 400 events is streamed through "a"
    And after 20 events "planner-1" is listed as "draining"
    Then the plan is whole after event 100
    And the run was on "planner-1" only

  # Guards against the same, where no move was ordered.
  Scenario: A stream that ends before its limit is whole
    Given "planner-1" ends every run after event 50
    When a plan of 400 events is streamed through "a"
    Then the plan is whole after event 50
    And the run was on "planner-1" only
