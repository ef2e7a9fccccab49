Feature: Odd requests are refused to their caller alone

  # Guards against a prompt that is altered on its way, and against values that fail where they are
  # hashed, sent or logged, long after the request was accepted.
  Scenario: Any body is refused, or a request that is passed on exactly
    Then 800 random bodies are refused with 400 or accepted as requests that can be passed on
    And bodies that cannot be passed on exactly are refused with 400

  # Guards against headers that end in an error of ours.
  Scenario: Any cursor and any Idempotency-Key is refused or usable
    Then 500 random cursors are refused with 400
    And a true cursor with an offset beyond numbers is refused with 400
    And 500 random keys are refused with 400 or usable
    And an announced length is a number of bytes or refused with 400

  # Guards against an error of ours for an odd request, and against another caller's loss by it.
  Scenario: A stream stays whole beside odd requests, each of which has an answer and a log line
    Given a platform with both teams' settings
    And 1 engines "planner" in domain "lagos-1" of region "lagos"
    And 1 plain service "ledger" in domain "lagos-1" of region "lagos"
    And daemons "a" in domain "lagos-1" of region "lagos"
    When account "organisers" begins streaming "plan [len=400]" from "planner" through "a"
    And 600 odd requests are sent through "a"
    Then the answer has 400 tokens of one generation in order
    And no odd request was answered by an error of ours
    And each line of the log of "a" is whole, and each refusal has one
