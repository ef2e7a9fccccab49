Feature: A host's clock that is wrong does not let a call run twice

  Background:
    Given a platform with both teams' settings
    And a plain service "ledger-1" behind a proxy in domain "accra-1"
    And daemons "b" in domain "accra-2" of region "accra"

  Scenario Outline: A key is remembered for its time, whatever clock stamped it and whatever clock forgets
    Given a daemon "a" whose clock is <seconds> seconds off
    And outcomes are kept for 1 seconds
    And the team's option "record_forget_after" is 600
    When refund "r-1" is posted through "<first>"
    And 80 refunds with long answers are posted through "<first>"
    And the outcomes expire
    And 80 refunds with long answers are posted through "<second>"
    And the outcomes expire
    And 80 refunds with long answers are posted through "<second>"
    And 80 refunds with long answers are posted through "<second>"
    Then the records hold tombstones
    Given daemons "c" in domain "accra-3" of region "accra"
    When refund "r-1" is posted through "c"
    Then the last answer is 409 "outcome_expired" with ran "yes"
    And refund "r-1" ran 1 time

    Examples: stamped an hour early, forgotten an hour early
      | seconds | first | second |
      | -3600   | a     | b      |
      | 3600    | b     | a      |

  Scenario: A key older than any record is refused by a host whose clock is behind
    Given a daemon "a" whose clock is -3600 seconds off
    And the team's option "record_forget_after" is 600
    When a refund with a key made 1800 seconds ago is posted through "a"
    Then the last answer is 409 "key_expired" with ran "unknown"
    And nothing ran

  Scenario: A daemon that has all settings from its peers asks the platform for the time first
    Given a daemon "a" that cannot reach the platform, whose clock is -3600 seconds off
    And the team's option "record_forget_after" is 600
    When daemon "b" is killed
    And it can reach the platform
    And a refund with a key made 1800 seconds ago is posted through "a"
    Then the last answer is 409 "key_expired" with ran "unknown"
    And nothing ran

  Scenario: A daemon says how far its clock is from the platform's
    Given a daemon "a" whose clock is -3600 seconds off
    Then daemon "a" says that its clock is -3600 seconds off
    And daemon "b" says that its clock is 0 seconds off
