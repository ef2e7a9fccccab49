Feature: A run that went on elsewhere is stopped at the engine that could not be reached

  # Guards against two engines at work on one run (review/6, TWICE): an order to stop that could not
  # be delivered counted as the end of the run, though its engine could be reached a moment later.
  Scenario Outline: An engine whose new connections <fail> is ordered once it can be reached, <when>
    Given a platform store with document 5
    And an engine "planner-1" of "planner" in "lagos" behind a proxy
    And a routed daemon "a" in "lagos" that can be cut off from engines
    And an engine "planner-2" of "planner" in "lagos" that is listed last
    When a plan of 900 events is streamed through "a"
    And the run is copied to "planner-2"
    And "a" is cut off from "planner-1", with new connections <how> and open ones silent
    And "a" reaches "planner-1" again <seconds> s after its line "<line>"
    Then the plan is whole
    And the run went on at "planner-2"
    And "planner-1" stopped it within 0.4 s of being reached

    Examples:
      | fail        | how     | seconds | line        | when                          |
      | hang        | hanging | 0.3     | engine lost | before the run goes on        |
      | hang        | hanging | 0.05    | continued   | just after the run went on    |
      | hang        | hanging | 2       | continued   | long after the run went on    |
      | are refused | refused | 0.3     | engine lost | just after the run went on    |
      | are refused | refused | 2       | continued   | long after the run went on    |

  # Guards against giving up on a run whose engine is slow to obey.
  Scenario Outline: An engine that <does> is ordered until <until>
    Given an engine that <does>
    When it is ordered late to stop a run, <time> s before the caller's time is over
    Then it has been ordered <orders> times, with the outcome "<outcome>"
    And by what is known it <may> work on the run

    Examples:
      | does                                      | until                        | time | orders | outcome                           | may     |
      | stops it                                  | it has stopped               | 5    | 1      | RunCopied                         | cannot  |
      | stops it at the third order               | it has stopped               | 5    | 3      | RunCopied                         | cannot  |
      | has no such run                           | it says so                   | 5    | 1      | RunEnded                          | cannot  |
      | refuses every order                       | the caller's time is over    | 0.6  | 3      | caller's time over                | cannot  |
      | has ended                                 | the caller's time is over    | 0.8  | 0      | caller's time over                | cannot  |
      | is sent the run again                     | it is sent the run           | 5    | 0      | an earlier order, or a new run there | cannot |

  # Guards against memory that is held by a copy which nobody goes on from.
  Scenario: The copy that a late order made is dropped
    Given an engine that stops it
    When it is ordered late to stop a run, 5 s before the caller's time is over
    Then its copy is dropped once it continues

  # Guards against an order that takes away the copy from which the run is about to go on.
  Scenario: Nothing is ordered before the run has gone on
    Given an engine that stops it
    When it is to be ordered late, and the run has not gone on for 0.5 s
    Then it has been ordered 0 times, with the outcome "none yet"
    And by what is known it may work on the run

  # Guards against a run that goes back to an engine which may still work on it.
  Scenario: A run does not go on at an engine that may still work on it
    Given an engine that stops it
    When it is to be ordered late, and the run has not gone on for 0 s
    Then the run may go to another engine, and not to that one

  # Guards against a run that goes on elsewhere later, and that nothing has stopped before.
  Scenario Outline: A run is stopped also where <others>
    Given a lost run on "e1" of a service whose other engines are "<names>"
    And "<busy>" take no work now, "<leaving>" leave and "<unproven>" may still work on it
    Then it is ordered to stop with the target "<target>"

    Examples:
      | others                                      | names  | busy   | leaving | unproven | target |
      | another takes work                          | e2     | none   | none    | none     | e2     |
      | no other takes work                         | e2     | e2     | none    | none     | e2     |
      | the only other that takes work may run it   | e2, e3 | e3     | none    | e2       | e3     |
      | all others leave                            | e2     | e2     | e2      | none     | none   |

  # Guards against a flood of connections to an engine that has crashed.
  Scenario: All who wait for an engine share its connection attempts, which become rare
    Given no engine to connect to
    When 20 wait for an engine's return for 1 s
    Then 6 to 8 connections were tried
    When nobody waits any more
    Then no connection is tried in 0.5 s

  Scenario: An engine that hangs for one attempt is reached by the next
    Given one connection attempt that hangs, before an engine accepts others
    When 1 waits for an engine's return for 1 s
    Then it has been reached within 0.3 s
