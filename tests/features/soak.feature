Feature: Every promise holds through a randomised run of kills, freezes, cuts, stalls and outages

  Scenario: A run with a fixed seed
    When callers, faults and operators run at random for 40 seconds with seed 7
    Then no promise was broken
    And streams and refunds were served
