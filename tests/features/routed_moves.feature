Feature: The runs of an engine that is taken away are moved within its notice

  Scenario: A run that began after the engine's report is moved without waiting for a turn
    Given an engine that leaves, with run "old" of 8000 tokens in its report
    And run "young" of 500 tokens that is not in its report
    And an engine "near" in its region
    When its runs are moved for 0.4 s
    Then "young" was copied to "near" within 0.2 s

  Scenario: Engines without room are asked again
    Given an engine that leaves, with run "old" of 500 tokens in its report
    And an engine "near" in its region that has room after 0.5 s
    When its runs are moved for 1 s
    Then "old" was copied to "near" after 0.5 s

  Scenario: While a near engine may get room, no copy begins that would not arrive
    Given an engine that leaves, with run "old" of 500 tokens in its report
    And an engine "near" in its region that has room after 60 s
    And an engine "far" in another region
    When its runs are moved for 1 s
    Then nothing was asked of "far"

  Scenario: An engine that works on past the usual notice has its runs copied far away as well
    Given an engine that leaves, with run "old" of 500 tokens in its report
    And an engine "near" in its region that has room after 60 s
    And an engine "far" in another region
    When its runs are moved for 2 s
    Then "old" was copied to "far" after 1.4 s

  Scenario: An engine that is alone in its region has its runs copied far away at once
    Given an engine that leaves, with run "old" of 500 tokens in its report
    And an engine "far" in another region
    When its runs are moved for 0.4 s
    Then "old" was copied to "far" within 0.2 s

  Scenario: A turn that would end too late begins while there is time for it alone
    Given an engine that leaves, with runs "one, two, three" of 10000 tokens in its report
    And this daemon passes on "three" only
    And an engine "near" in its region
    When its runs are moved for 1.3 s
    Then "three" was copied to "near" within 0.9 s

  Scenario: A run is not begun to be moved from an engine that says it is gone by then
    Given an engine that leaves, with run "old" of 500 tokens in its report
    And it says that it leaves in 0.5 s
    And an engine "near" in its region
    When its runs are moved for 0.4 s
    Then nothing was asked of "near"

  # Guards against a run that is stopped and resumed over and over, on the retry budget of all.
  Scenario: A run that its engine keeps is not ordered to stop again at once
    Given an engine that leaves, with run "old" of 500 tokens in its report
    And an engine "near" in its region
    And it keeps each run that it is ordered to stop
    When its runs are moved for 1 s
    Then it was ordered to stop a run between 2 and 6 times

  # Guards against the move of a run that is not there any more: as it fails, the run counts as one
  # that can't be moved, at the engine where it has gone on.
  Scenario: A run that goes on elsewhere while its engine is asked again is not moved
    Given an engine of a drained domain, with runs "one, two, three" of 10000 tokens in its report
    And this daemon passes on "three" only
    And an engine "near" in its region
    And its second report takes 0.6 s, and "three" goes on elsewhere meanwhile
    When its runs are moved for 2 s
    Then nothing was asked of "near"
