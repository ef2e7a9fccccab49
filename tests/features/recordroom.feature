Feature: Records of calls that may not be repeated take a bounded room, and make room again

  Background:
    Given a platform with both teams' settings
    And a plain service "ledger-1" behind a proxy in domain "accra-1"
    And a daemon "a" with the platform behind a proxy in domain "accra-1"
    And daemons "b" in domain "accra-2" of region "accra"

  Scenario: A full bucket refuses new calls, and takes them when its limit is raised
    Given the team's option "record_bytes" is 60000
    When refunds with long answers are posted through "a" until one is refused
    Then the last answer is 503 "records_full" with ran "no"
    And the last answer says when to ask again
    And the refused refund ran 0 times
    And every other one ran 1 time, and its repeat through "b" gets the same answer
    Given the team's option "record_bytes" is 16777216
    Then the refused refund succeeds through "b" in the end and ran 1 time

  Scenario: A full bucket makes room of what has expired
    Given outcomes are kept for 15 seconds
    And the team's option "record_bytes" is 60000
    When refunds with long answers are posted through "a" until one is refused
    Then the last answer is 503 "records_full" with ran "no"
    And the refused refund succeeds through "a" in the end and ran 1 time
    When the 15 seconds of the outcomes have passed
    Then every other one is refused by "a" and "b" with "outcome_expired" and ran "yes"

  Scenario: Daemons of two domains make the same segments smaller at the same time
    Given outcomes are kept for 15 seconds
    When 500 long refunds are each posted at once through "a, b"
    And the 15 seconds of the outcomes have passed
    And 500 long refunds are each posted at once through "a, b"
    Then each bucket has more than 2 segments of tombstones
    And each of the 1000 long refunds ran 1 time
    Given daemons "c" in domain "accra-2" of region "accra"
    Then the first 500 are refused by "a", "b" and "c" with "outcome_expired" and ran "yes"

  Scenario: Tombstones are deleted when a key need not be remembered any more
    Given outcomes are kept for 1 seconds
    And the team's option "record_forget_after" is 6
    When refund "r-1" is posted through "a"
    And 80 refunds with long answers are posted through "a"
    And the outcomes expire
    And 80 refunds with long answers are posted through "a"
    Then the records hold tombstones
    When the 6 seconds of the outcomes have passed
    And 80 refunds with long answers are posted through "a"
    And 80 refunds with long answers are posted through "a"
    Then the oldest segments are deleted
    When refund "r-1" is posted through "b"
    Then the last answer is 200
    And refund "r-1" ran 2 time
