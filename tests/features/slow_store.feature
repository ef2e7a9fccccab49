Feature: A key-value service that is slow for long holds up only what needs it

  Background:
    Given a platform with both teams' settings
    And 2 engines "papaya-llm" in domain "accra-1" of region "accra"
    And a plain service "ledger-1" behind a proxy in domain "accra-1"
    And daemons "a" in domain "accra-1" of region "accra"
    And daemons "b" in domain "accra-2" of region "accra"

  Scenario: With answers that take a second and a half
    When the key-value service takes 1.5 seconds a call
    And 24 refunds are each posted at once through "a, b"
    Then each of the 24 refunds ran 1 time, and one post of it succeeded at least
    When account "depots" streams "report [len=60]" from "papaya-llm" through "a"
    Then the answer has 60 tokens of one generation in order
    When operator "ada" sets the planner's wait limit to 61
    Then the change is in force at "a, b" within 14 seconds

  Scenario: With answers that come after nobody waits for them any more
    When 100 refunds are each posted at once through "a, b"
    And the key-value service takes 4 seconds a call
    And 12 refunds are each posted at once through "a, b"
    Then no refund ran twice, and every answer was true
    When account "depots" streams "report [len=60]" from "papaya-llm" through "a"
    Then the answer has 60 tokens of one generation in order
    When the key-value service takes 0 seconds a call
    Then each of the 12 refunds succeeds through "a" in the end, and ran 1 time
