Feature: A run goes on elsewhere only once its engine has stopped it

  Background:
    Given a platform store with document 5
    And an engine "planner-1" of "planner" in "lagos" behind a proxy
    And a routed daemon "a" in "lagos"
    And an engine "planner-2" of "planner" in "lagos" that is listed last

  # Guards against two engines at work on one run: the first one's stream is lost to the daemon,
  # but the engine doesn't know, works on and answers orders over new connections.
  Scenario Outline: A run whose connection <breaks> is stopped before it goes on from its copy
    When a plan of 800 events is streamed through "a"
    And the run is copied to "planner-2"
    And the open connections to "planner-1" <fault>
    Then the plan is whole
    And the run went on at "planner-2" where it had stopped at "planner-1"
    And "planner-2" began to work on it after "planner-1" had stopped

    Examples:
      | breaks            | fault                              |
      | falls silent      | fall silent                        |
      | is reset one way  | are reset without its knowledge    |

  # Guards against a new run beside the first one, where there is no copy to go on from.
  Scenario: A run that may be resumed is stopped before it goes on, also where there is no copy
    Given "planner-2" has no room for copies
    When document 6 lets plans be resumed on 2 engines
    And a plan of 600 events is streamed through "a"
    And the open connections to "planner-1" are reset without its knowledge
    Then the plan is whole
    And the run went on at "planner-1" itself, once it had stopped there
    And "planner-2" never worked on the run

  # Guards against going on elsewhere while the engine is reachable and does not obey.
  Scenario: A run that its engine does not stop is broken off
    Given "planner-1" has fault "unstoppable"
    When a plan of 1200 events is streamed through "a"
    And the run is copied to "planner-2"
    And the open connections to "planner-1" are reset without its knowledge
    Then the plan breaks off and does not look complete
    And "planner-2" never worked on the run

  # Guards against a run that is lost by its move: the engine has stopped it and ended its stream,
  # but the daemon waits on the silent connection for that end.
  Scenario: A run whose connection is silent is moved when its engine leaves
    When a plan of 600 events is streamed through "a"
    And the run is copied to "planner-2"
    And the open connections to "planner-1" fall silent
    And "planner-1" is listed as "draining"
    Then the plan is whole
    And the run went on at "planner-2" where it had stopped at "planner-1"
    And the caller waited less than 1.8 s for any event
