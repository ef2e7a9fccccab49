Feature: Every promise of the routed front holds through a randomised run

  # Guards against what shows only where faults overlap: a part that looks complete, events lost or
  # repeated, a call that is repeated though it may not be.
  Scenario: A run of the routed front with a fixed seed
    When callers and faults of the routed front are random for 30 seconds with seed 7
    Then no promise was broken
