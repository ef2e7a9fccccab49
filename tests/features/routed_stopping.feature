Feature: A planned stop answers all that a daemon has read

  Background:
    Given a platform store with document 5
    And 3 engines of "desk" in "lagos"
    And 1 engines of "planner" in "lagos"
    And a routed daemon "a" in "lagos"

  # Guards against requests that have been passed on and are cut without an answer when the daemon
  # ends (incident LOST).
  Scenario: What servers don't end within the grace has a final answer all the same
    Given 4 calls of each kind through "a" have been served
    And engines of "desk" take 9 s for each call
    When callers send the last byte of a request at any time of a planned stop of "a"
    Then each request that was sent whole has a whole answer, or a stream that is seen to break off
    And no request that was answered 503 has run, and each 503 says when to come again
    And no unsafe request has run twice
    And each answer after the signal says that the connection ends
    And "a" ended by itself within its grace, with status 3

  # Guards against requests that are passed on when too little of the grace is left for the work.
  Scenario Outline: What can't end within the grace is not begun, with a work of <work> s
    Given engines of "desk" take <work> s for each call
    And 1 calls of each kind through "a" have been served
    When callers send the last byte of a request at any time of a planned stop of "a"
    Then each request that was sent whole has a whole answer
    And no request that was answered 503 has run, and each 503 says when to come again
    And no unsafe request has run twice
    And each call that was sent whole before <answered> s was answered 200
    And "a" ended by itself within its grace, with status 0

    Examples:
      | work | answered |
      | 0.05 | 6.9      |
      | 1    | 6.0      |
      | 2    | 5.0      |
