Feature: Copies of a request that are sent at once take down two engines at most

  Background:
    Given a platform with both teams' settings

  Scenario Outline: No engine has died yet when they are sent
    Given 5 engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "<daemons>" in domain "lagos-1" of region "lagos"
    And the daemons agree on who schedules
    When 35 copies of "plan [crash=<after>] [len=400]" are sent at once through "<daemons>"
    And a caller sends "plan [crash=<after>] [len=400]" 3 times in turn through "<daemons>"
    Then 2 engines "planner" have died
    And the last answers are 422 "quarantined" with ran "no" and Retry-After

    Examples:
      | daemons             | after |
      | a                   | 100   |
      | a                   | 0     |
      | a, b, c, d, e, f, g | 100   |
      | a, b, c, d, e, f, g | 0     |

  Scenario: They are sent in two failure domains, each of which runs them on one engine
    Given 3 engines "planner" in domain "lagos-1" of region "lagos"
    And 3 engines "planner" in domain "kano-1" of region "kano"
    And daemons "a, b" in domain "lagos-1" of region "lagos"
    And daemons "m, n" in domain "kano-1" of region "kano"
    And the domains "lagos-1" and "kano-1" see each other
    And the daemons agree on who schedules
    When 24 copies of "plan [crash=100] [len=400]" are sent at once through "a, b, m, n"
    Then 2 engines "planner" have died
    And soon a copy sent through each of "a, b, m, n" is 422 "quarantined"
    And 2 engines "planner" have died

  Scenario: They run on two engines until one is whole, and hold up nobody behind them
    Given 3 engines "planner" in domain "lagos-1" of region "lagos"
    And the planner's engines take 2 streams each
    And daemons "a, b" in domain "lagos-1" of region "lagos"
    And the daemons agree on who schedules
    When 7 copies of "plan [len=600]" stream through "a, b"
    Then copies run on 2 engines and the others wait
    And another plan of the same account is whole before any copy
    And every copy is whole, and 3 engines have run some
