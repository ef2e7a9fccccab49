Feature: Daemons know who is there, and links survive what they meet

  Background:
    Given a platform with both teams' settings

  Scenario: A daemon restarted under its name is met at its new address while the list still lags
    Given 1 engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "a, b, c" in domain "lagos-1" of region "lagos"
    When the host list lags by 600 seconds
    And daemon "b" is killed
    Then "a, c" take "b" for dead within 5 seconds
    When daemon "b" is started again
    Then "a, c" see "b" alive
    And every daemon of "a, b, c" has one link to each other one
    And 2 plans are whole through each of "a, b, c"

  Scenario: Daemons that dial each other at once keep one link
    Given daemons "a" in domain "lagos-1" of region "lagos"
    And daemons "b, c, d" that all dial each other in domain "lagos-1" of region "lagos"
    Then every daemon of "a, b, c, d" has one link to each other one
    When 7 seconds pass
    Then every daemon of "a, b, c, d" has one link to each other one

  Scenario: A frozen daemon is dead in seconds, and alive again once it is thawed
    Given daemons "a, b" in domain "lagos-1" of region "lagos"
    When daemon "b" is frozen
    Then "a" take "b" for dead within 5 seconds
    And "a" has no link to "b" any more
    When daemon "b" is thawed
    Then "a" see "b" alive
    And every daemon of "a, b" has one link to each other one

  Scenario: A daemon started while the host list is down learns it from its peers
    Given 1 engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "a" in domain "lagos-1" of region "lagos"
    And daemon "a" knows 1 engines
    When the host list goes down
    And daemon "b" is started with "a" as its seed
    Then 2 plans are whole through each of "b"

  Scenario: A daemon that is gone for long and no longer listed is forgotten
    Given daemons "a, b" in domain "lagos-1" of region "lagos"
    When daemon "b" is killed
    And host "b" is taken off the list
    Then "a" has forgotten "b" within 75 seconds

  Scenario: What comes from a foreigner or is too long closes that link alone
    Given 1 engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "a, b" in domain "lagos-1" of region "lagos"
    When links are opened to "a" that send
      | sends                |
      | a wrong proof        |
      | an oversized frame   |
    Then each of those links was closed and logged as an error by "a"
    And every daemon of "a, b" has one link to each other one
    And 2 plans are whole through each of "a, b"

  # Guards against one frame in a wrong form that costs the calls on its link, or any other link.
  Scenario: What comes in a wrong form is refused alone
    Given 1 engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "a, b" in domain "lagos-1" of region "lagos"
    When links are opened to "a" that send
      | sends                |
      | a malformed frame    |
      | an unknown message   |
      | a text frame         |
      | a wrong field        |
    Then each of those links still answers, and "a" has logged each refusal as an error
    And every daemon of "a, b" has one link to each other one
    And 2 plans are whole through each of "a, b"

  Scenario: A daemon that reports streams is alive by its reports, and hardly beats beside them
    Given 1 engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "a, b" in domain "lagos-1" of region "lagos"
    When 1 numbered stream of 1900 tokens runs through the first entry daemon
    Then the scheduler sees the first entry daemon alive while it sends 6 reports and at most 2 heartbeats
    And the numbered streams are whole

  Scenario: What changes in the host list is handed on alone, and the whole list when that is less
    Given 2 engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "a, b, c, d, e" in domain "lagos-1" of region "lagos"
    And all of "a, b, c, d, e" have the newest host list
    When host "planner-lagos-1-1" is taken off the list
    Then all of "a, b, c, d, e" have the newest host list
    And "a, b, c, d, e" handed on changes and no whole list since
    When 1100 hosts are put on the list at once
    Then all of "a, b, c, d, e" have the newest host list
    And "a, b, c, d, e" handed on whole lists since

  Scenario Outline: A host list that starts again with <a version> is taken by every daemon
    Given 2 engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "a, b, c, d" in domain "lagos-1" of region "lagos"
    And daemons "m" in domain "kano-1" of region "kano"
    And all of "a, b, c, d, m" have the newest host list
    When the host list starts again with <a version> and without "planner-lagos-1-1"
    Then all of "a, b, c, d, m" have the newest host list
    When host "planner-lagos-1-0" is taken off the list
    Then all of "a, b, c, d, m" have the newest host list

    Examples:
      | a version        |
      | a lower version  |
      | the same version |

  Scenario: A copy of the host list that lags for a moment does not set it back
    Given 1 engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "a, b" in domain "lagos-1" of region "lagos"
    And all of "a, b" have the newest host list
    When 1 hosts are put on the list at once
    Then all of "a, b" have the newest host list
    When "a, b" read the list of before 2 times
    Then all of "a, b" have the newest host list
    And "a, b" never began a new epoch of the host list

  Scenario: A daemon that is ready knows its engines
    Given 1 engines "planner" in domain "lagos-1" of region "lagos"
    And daemon "a" in domain "lagos-1" of region "lagos" has the settings, but no host list
    When the host list comes within reach of "a"
    Then a plan sent through "a" as soon as it is ready is whole
