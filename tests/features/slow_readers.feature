Feature: A slow reader holds the engine's link up, not the daemon's memory

  Scenario: Readers that stop reading cost no more than the bound
    Given a platform with both teams' settings
    And deployment "planner" of team "sound-trust" has "service = planner, backends = planner-*, memory_tokens = 1000000, max_batch = 64"
    And a fast engine "planner-1" in domain "lagos-1" of region "lagos"
    And daemons "a" in domain "lagos-1" of region "lagos"
    When 24 callers stream 12000 tokens from "planner" through "a" and read nothing
    And the engines have generated everything
    Then the daemon "a" has grown by less than the bound for each of the callers
    And every caller then reads its 12000 tokens of one generation in order
