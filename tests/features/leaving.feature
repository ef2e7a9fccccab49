Feature: A leaving backend server gets no new work after a few seconds, and its streams end well

  Background:
    Given a platform with both teams' settings
    And 2 engines "planner" in domain "lagos-1" of region "lagos"

  Scenario Outline: An engine leaves <way>
    Given daemons "a, b" in domain "lagos-1" of region "lagos"
    When account "organisers" starts streaming "plan [len=1500]" from "planner" through "a"
    And the busy engine leaves <way>
    And 5 seconds pass
    And 12 plans are streamed from "planner" through "a, b"
    Then every one of those plans is whole
    And the leaving engine has started nothing since those 5 seconds
    And the answer has 1500 tokens of one generation in order

    Examples:
      | way                     |
      | by the host list        |
      | by its own notice       |
      | by an operator's word   |

  Scenario: An engine leaves by the host list while its own domain cannot reach the platform
    Given daemons "n" in domain "kano-1" of region "kano"
    And daemon "a" in domain "lagos-1" of region "lagos" reaches the platform through a proxy
    And daemon "a" knows 2 engines
    And domain "lagos-1" sees daemon "n" of domain "kano-1" at "a"
    When the platform is cut off from daemon "a"
    And the first engine leaves by the host list
    And 5 seconds pass
    And 6 plans are streamed from "planner" through "a"
    Then every one of those plans is whole
    And the leaving engine has started nothing since those 5 seconds

  Scenario: An engine reclaimed at short notice ends its streams truthfully, and new ones go elsewhere
    Given daemons "a, b" in domain "lagos-1" of region "lagos"
    When account "organisers" starts streaming "plan [len=4000]" from "planner" through "a"
    And the busy engine leaves by its own notice
    And 1 seconds pass
    And the busy engine is killed
    And 6 plans are streamed from "planner" through "a, b"
    Then every one of those plans is whole
    And the answer ends with the error "engine_lost" and its tokens are those of one generation

  Scenario: A plain service that leaves by the host list gets no new calls
    Given 2 plain service "ledger" in domain "lagos-1" of region "lagos"
    And daemons "a" in domain "lagos-1" of region "lagos"
    When host "ledger-lagos-1-0" is put on the list as leaving
    And 5 seconds pass
    And 4 refunds are paid through "a"
    Then plain service "ledger-lagos-1-0" has run 0 refunds
