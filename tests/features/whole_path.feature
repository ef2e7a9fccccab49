Feature: A request goes from a caller through an entry host to a backend server and back

  Background:
    Given a platform with both teams' settings
    And 2 engines "planner" in domain "lagos-1" of region "lagos"
    And 1 plain service "ledger" in domain "lagos-1" of region "lagos"
    And daemons "a, b" in domain "lagos-1" of region "lagos"

  Scenario: A plan is streamed whole and in order through either daemon
    When account "organisers" streams "plan [len=120]" from "planner" through "a"
    Then the answer has 120 tokens of one generation in order
    When account "organisers" streams "plan [len=80]" from "planner" through "b"
    Then the answer has 80 tokens of one generation in order

  Scenario: A refund runs once however often it is sent
    When account "depots" posts refund "r-1" through "a"
    And account "depots" posts refund "r-1" through "b"
    Then refund "r-1" ran 1 time

  Scenario: A planned stop lets a stream finish
    When account "organisers" starts streaming "plan [len=400]" from "planner" through "a"
    And daemon "a" is asked to stop
    Then the answer has 400 tokens of one generation in order
    And daemon "a" exits with status 0
