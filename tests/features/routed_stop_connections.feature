Feature: A planned stop keeps its promises to new, kept and busy connections, and under signals

  Background:
    Given a platform store with document 5
    And 3 engines of "desk" in "lagos"
    And 1 engines of "planner" in "lagos"
    And a routed daemon "a" in "lagos"

  # Guards against connections that are closed with a request in them when a daemon ceases to listen.
  Scenario: Callers that connect while a daemon ceases to listen are answered, or not let in
    Given engines of "desk" take 0.05 s for each call
    When callers connect to "a" at any time around the end of the notice of its stop
    Then each caller whose connection was accepted has a whole answer

  # Guards against requests that were read with the one before them and are dropped by its answer,
  # which says that the connection ends.
  Scenario: Requests that a caller has sent ahead are answered in a stop
    Given engines of "desk" take 0.5 s for each call
    When a caller sends 4 unsafe requests at once to "a", which is then asked to stop
    Then each of them is answered 200 and ran once, and only the last answer ends the connection

  # Guards against a stop that is hurried, prolonged or forgotten by what happens to the process.
  Scenario Outline: A stop holds what it promises when its process gets <signals>
    Given engines of "desk" take 0.3 s for each call
    And 1 calls of each kind through "a" have been served
    When callers do so during a planned stop of "a" in which it gets "<signals>"
    Then each request that was sent whole has a whole answer
    And no request that was answered 503 has run, and each 503 says when to come again
    And no unsafe request has run twice
    And each call that was sent whole before 4.7 s was answered 200
    And "a" ended by itself within its grace, with status 0

    Examples:
      | signals                       |
      | SIGTERM at 1, SIGHUP at 2     |
      | SIGSTOP at 3, SIGCONT at 4    |

  # Guards against a kill at the end of the grace that comes while the interpreter frees its objects.
  Scenario: A daemon's process ends right after its last log line
    When "a" is stopped, and its processor time is read at its last log line and at its end
    Then the end of the process took less than 0.1 s of processor time
