Feature: A request that crashes engines is stopped, and its neighbours are served

  Background:
    Given a platform with both teams' settings

  Scenario Outline: It takes down two engines at most, however many daemons it is sent to
    Given 5 engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "<daemons>" in domain "lagos-1" of region "lagos"
    When a caller sends "plan [crash=<after>] [len=50]" 7 times in turn through "<daemons>"
    Then 2 engines "planner" have died
    And the last answers are 422 "quarantined" with ran "no" and Retry-After
    When account "organisers" streams "plan [len=60]" from "planner" through "a"
    Then the answer has 60 tokens of one generation in order

    Examples:
      | daemons             | after |
      | a                   | 3     |
      | a                   | 0     |
      | a, b, c, d, e, f, g | 3     |

  Scenario: Copies that wait when it is found out do not run
    Given 5 engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "a, b, c, d, e, f, g" in domain "lagos-1" of region "lagos"
    When a caller sends "plan [crash=300] [len=400]" 1 times in turn through "a"
    And a caller sends "plan [crash=300] [len=400]" at once through "a, b, c, d, e, f, g"
    Then 2 engines "planner" have died
    And all answers but one are 422 "quarantined" with ran "no" and Retry-After

  Scenario: Neighbours on a crashed engine are served when they ask again
    Given 3 engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "a, b" in domain "lagos-1" of region "lagos"
    When 12 callers stream "neighbour [len=500]" from "planner" through "a" until whole
    And a caller sends "plan [crash=60] [len=90]" 4 times in turn through "a, b"
    Then every neighbour has 500 tokens of one generation in order in the end
    And 2 engines "planner" have died

  # Neighbours of a condemned request that are still taken for suspects run one by one.
  Scenario: Neighbours need not run apart once it is found out
    Given schedulers that take the engines' memory for 1000000 tokens
    And 3 engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "a" in domain "lagos-1" of region "lagos"
    When 9 callers begin to stream "neighbour [len=1000]" from "planner" through "a"
    And a caller sends "plan [crash=30] [len=90]" 2 times in turn through "a"
    And those that were cut off ask again
    Then all of them stream at the same time
    And every one of them has 1000 tokens of one generation in order

  Scenario: A daemon that starts later knows what is in quarantine
    Given 5 engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "a" in domain "lagos-1" of region "lagos"
    When a caller sends "plan [crash=3] [len=50]" 3 times in turn through "a"
    And daemons "b" in domain "lagos-1" of region "lagos" start
    And a caller sends "plan [crash=3] [len=50]" 1 times in turn through "b"
    Then 2 engines "planner" have died
    And the last answers are 422 "quarantined" with ran "no" and Retry-After

  # Guards against a plain call being sent on and on while its servers end (incident BUDGET).
  Scenario Outline: A call that crashes plain services takes down two at most
    Given 5 plain service "ledger" in domain "accra-1" of region "accra"
    And daemons "a, b" in domain "accra-1" of region "accra"
    When a <kind> whose body crashes is made 6 times in turn through "a, b"
    Then 2 engines "ledger" have died
    And the last answers are 422 "quarantined" with ran "no" and Retry-After
    And a <kind> whose body is harmless is answered 200 through "b"

    Examples:
      | kind            |
      | refund          |
      | repeatable call |
