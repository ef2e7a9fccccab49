Feature: Odd requests are refused to their caller alone

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
