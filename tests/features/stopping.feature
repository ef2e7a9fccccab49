Feature: A planned stop cuts off nobody

  Background:
    Given a platform with both teams' settings
    And 2 engines "planner" in domain "lagos-1" of region "lagos"

  Scenario: All daemons are restarted in turn under load
    Given 1 plain service "ledger" in domain "lagos-1" of region "lagos"
    And daemons "a, b, c" in domain "lagos-1" of region "lagos"
    When 12 callers work through whichever of "a, b, c" is ready
    And daemons "a, b, c" are restarted in turn
    And the callers finish
    Then no caller has met an error
    And each refund answered has run 1 time
    And every stop ended with status 0

  # Queued requests that are not handed over wait until their daemons ask again.
  Scenario: Requests queued at a scheduler that stops are granted by the next one
    Given daemons "a, b, c" in domain "lagos-1" of region "lagos"
    When 90 plans of 300 tokens wait for engines through a daemon that does not schedule
    And the scheduling daemon is asked to stop
    Then all 90 plans are whole
    And the stopped daemon handed queued requests over
    And other daemons had all requests handed over within 0.8 seconds
    And the stopped daemon exits with status 0

  Scenario: A caller that keeps its connection is told that it ends
    Given daemons "a, b" in domain "lagos-1" of region "lagos"
    When a caller of "a" keeps its connection and another lets one idle
    And account "organisers" starts streaming "plan [len=800]" from "planner" through "a"
    And daemon "a" is asked to stop
    Then "a" is not ready and answers the kept connection with "Connection: close"
    And the idle connection is closed while the stream goes on
    And the answer has 800 tokens of one generation in order
    And daemon "a" exits with status 0

  Scenario: A second signal does not hurry a stop, and a time-out is told truthfully
    Given daemon "a" in domain "lagos-1" of region "lagos" stops within 2 seconds at most
    When account "organisers" starts streaming "plan [len=4000]" from "planner" through "a"
    And daemon "a" is asked to stop
    And "a" is no longer ready
    And daemon "a" is asked to stop
    Then daemon "a" exits with status 3
    And the log of "a" says "already stopping"
    And the log of "a" says "stopped before every request had ended"

  # Guards against requests that are cut without an answer when the time of a stop runs out.
  Scenario: What has not ended when the time of a stop runs out has a final answer
    Given 1 plain service "ledger" in domain "lagos-1" of region "lagos"
    And daemon "a" in domain "lagos-1" of region "lagos" stops within 2 seconds at most
    When calls of each kind and plans of 6000 tokens are in progress at "a", which is asked to stop
    Then each of them is answered 504 with ran "unknown", and the stream ends with that error
    And no refund has run twice
    And daemon "a" exits with status 3

  # Guards against a daemon that ends while it reads requests, and against requests that are begun
  # with too little time left for them.
  Scenario Outline: Requests that become whole late in a stop are answered, and begun if they can end
    Given 1 plain service "ledger" in domain "lagos-1" of region "lagos"
    And daemon "a" in domain "lagos-1" of region "lagos" stops within 3 seconds at most
    And plain services of "lagos-1" take <work> s to answer
    When callers send the last byte of a refund at any time of the stop of "a"
    Then each refund that was sent whole has a whole answer
    And no refund that was answered 503 has run, and each 503 says when to come again
    And each refund that was sent whole before <answered> s was answered 200
    And daemon "a" exits with status 0

    Examples:
      | work | answered |
      | 0    | 4.5      |
      | 1    | 3.6      |

  Scenario: A stream whose caller has gone is cancelled at its engine before a stop ends
    Given the planner's resume window is 3 seconds
    And daemons "a, b" in domain "lagos-1" of region "lagos"
    When a caller of "a" starts a plan of 15000 tokens and goes away
    And daemon "a" is asked to stop
    Then daemon "a" exits with status 0
    And no engine runs anything
