Feature: A stream goes on as the same run when its engine goes

  Background:
    Given a platform store with document 5
    And an engine "planner-1" of "planner" in "lagos"
    And a routed daemon "a" in "lagos"

  Scenario: A stream is passed on whole and in order
    When a plan of 50 events is streamed through "a"
    Then the plan is whole
    And the run was on "planner-1" only

  Scenario: The runs of an engine that leaves are moved
    Given an engine "planner-2" of "planner" in "lagos" that is listed last
    And "planner-1", ordered to stop a run, closes first
    When a plan of 400 events is streamed through "a"
    And after 20 events "planner-1" is listed as "draining"
    Then the plan is whole
    And the run went on at "planner-2" where it had stopped at "planner-1"
    And no two engines worked on the run at once
    And the log of "a" tells the longest gap of the plan, by move, and so does a metric

  Scenario: Where one engine has no room another is tried
    Given an engine "planner-2" of "planner" in "lagos" that is listed last
    And an engine "planner-3" of "planner" in "kano"
    And "planner-2" has no room for copies
    When a plan of 400 events is streamed through "a"
    And after 20 events "planner-1" is listed as "draining"
    Then the plan is whole
    And the run went on at "planner-3" where it had stopped at "planner-1"

  Scenario: A run whose engine is killed without notice goes on from its copy
    Given an engine "planner-2" of "planner" in "lagos" that is listed last
    When a plan of 600 events is streamed through "a"
    And the run is copied to "planner-2"
    And "planner-1" is killed
    Then the plan is whole
    And the run went on at "planner-2"

  # Guards against ids that no header can carry ending the stream when its engine does.
  Scenario Outline: A run whose engine sends ids <odd> goes on from its copy
    Given an engine "planner-2" of "planner" in "lagos" that is listed last
    And "planner-1" sends ids <odd> from event 5 on
    When a plan of 600 events is streamed through "a"
    And the run is copied to "planner-2"
    And "planner-1" is killed
    Then the data of the plan is whole
    And the run went on at "planner-2"

    Examples:
      | odd                      |
      | with a control character |
      | as long as a head        |

  # Guards against going on from a place that is not known, and against an error that nobody expects.
  Scenario: A run of which no event has an id that can be sent ends with its engine
    Given an engine "planner-2" of "planner" in "lagos"
    And "planner-1" sends ids with a control character from event 1 on
    And "planner-2" sends ids with a control character from event 1 on
    When a plan of 600 events is streamed, and its engine is killed after 20 events
    Then the data of the plan breaks off
    And the log of "a" has no line "request failed, task failed"

  Scenario: A run whose engine falls silent goes on from its copy
    Given an engine "planner-2" of "planner" in "lagos" that is listed last
    When a plan of 600 events is streamed through "a"
    And the run is copied to "planner-2"
    And "planner-1" is frozen
    Then the plan is whole
    And the run went on at "planner-2"

  Scenario: A run whose target is lost before the move stays where it is
    Given an engine "planner-2" of "planner" in "lagos" that is listed last
    When a plan of 300 events is streamed through "a"
    And "planner-2" is killed
    And after 20 events "planner-1" is listed as "draining"
    Then the plan is whole
    And the run was on "planner-1" only

  Scenario: While the store is away the engine itself is asked whether it leaves
    Given an engine "planner-2" of "planner" in "lagos" that is listed last
    When a plan of 600 events is streamed through "a"
    And the store is down
    And "planner-1" says in its report that it leaves
    Then the plan is whole
    And the run went on at "planner-2"

  Scenario: An event that was cut in the middle is not passed on
    Given "planner-1" has fault "half_event"
    When a plan of 50 events is streamed through "a"
    Then the plan ends after event 4 and does not look complete

  Scenario: A daemon killed in the middle of a move leaves no engine working for nobody
    Given an engine "planner-2" of "planner" in "lagos" that is listed last
    And "planner-1" takes 1 s to copy a run
    When a plan of 600 events is streamed through "a"
    And after 20 events "planner-1" is listed as "draining"
    And routed daemon "a" is killed 0.3 s later
    Then no engine works on the run after 1 s

  Scenario: A stopping daemon sends a long generation elsewhere at once
    When routed daemon "a" is asked to stop
    Then a plan of 400 events through "a" is refused with 503 for a moment

  Scenario: A caller that leaves its stream ends the run
    When a plan of 400 events is streamed through "a"
    And the caller of the plan leaves
    Then no engine works on the run after 0.5 s

  Scenario: An engine that falls silent for a while is waited for where there is no copy
    When a plan of 200 events is streamed through "a"
    And "planner-1" is frozen for 3 s
    Then the plan is whole
    And the run was on "planner-1" only

  Scenario: A stream that may be resumed goes on as a new run at another engine
    Given an engine "planner-2" of "planner" in "lagos"
    When document 6 lets plans be resumed on 2 engines
    And "planner-1" has fault "half_event"
    And "planner-2" has fault "half_event"
    And a plan of 10 events is streamed through "a"
    Then the plan is whole
    And the rest came from a new run at another engine

  Scenario: It runs on no more engines than its route allows
    Given an engine "planner-2" of "planner" in "lagos"
    When document 6 lets plans be resumed on 1 engines
    And "planner-1" has fault "half_event"
    And "planner-2" has fault "half_event"
    And a plan of 10 events is streamed through "a"
    Then the plan ends after event 4 and does not look complete

  Scenario: So does one that its engine fails, and the last engine's failure is passed on
    Given an engine "planner-2" of "planner" in "lagos"
    When document 6 lets plans be resumed on 2 engines
    And "planner-1" has fault "fail"
    And "planner-2" has fault "fail"
    And a plan of 10 events is streamed through "a"
    Then the plan is answered 500 after a run at each engine
