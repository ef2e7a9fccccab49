Feature: What passes the links between failure domains and regions is counted

  Scenario Outline: A generation's bytes count for the link to its engine
    Given a platform with both teams' settings
    And 1 engines "planner" in domain "<domain>" of region "<region>"
    And daemons "a" in domain "lagos-1" of region "lagos"
    And daemons "far" in domain "<domain>" of region "<region>"
    And "a" knows that domain "<domain>" can serve "planner"
    When account "organisers" starts streaming "plan [len=200]" from "planner" through "a"
    Then the answer has 200 tokens of one generation in order
    And "a" has placed 1 generation over a "<link>" link and none over another
    And "a" has counted that generation's bytes over a "<link>" link and none over another
    And "a" and "far" have counted control bytes over a "<link>" link and none over another
    And "far" has placed none

    Examples:
      | domain  | region | link         |
      | lagos-1 | lagos  | same_domain  |
      | lagos-2 | lagos  | same_region  |
      | kano-1  | kano   | other_region |
