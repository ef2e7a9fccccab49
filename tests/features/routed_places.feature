Feature: Where long runs are put, so that they outlive their engines

  Scenario: An engine gets no run from the moment in which it is known to leave
    Given a scheduler with engines "one, two" of 30000 tokens
    When engine "one" is listed as leaving
    Then the next 3 runs are put on "two" at once

  Scenario: A run that waits is put on an engine as soon as that is listed
    Given a scheduler with engines "one" of 30000 tokens
    And runs of 14000 and 14000 tokens there, and one of 14000 tokens that waits
    When engine "two" is listed
    And the queue is served
    Then the run that waits is put on "two"

  Scenario: A scheduler knows an engine before the daemon that asks
    Given a scheduler that gives a place on "new", then on "old"
    And a daemon that knows "old" only
    When a run is placed
    Then it is on "old", and the place on "new" was given back

  Scenario: A scheduler knows an engine a moment before the daemon that asks
    Given a scheduler that gives a place on "new", then on "old"
    And a daemon that knows "old", and "new" after 0.1 s
    When a run is placed
    Then it is on "new", and no place was given back

  Scenario Outline: Regions keep room for the runs of one of their engines, which may be reclaimed
    Given <engines> engines in a region, with <free> tokens free of 30000 each
    Then the region <can> take over the runs of any one of them

    Examples:
      | engines | free  | can    |
      | 1       | 30000 | cannot |
      | 2       | 29000 | cannot |
      | 2       | 30000 | can    |
      | 5       | 31000 | can    |

  Scenario: A region of which nothing is known yet counts as free
    Given 2 engines in a region of which nothing is known
    Then the region can take over the runs of any one of them

  Scenario: Prompts that come at once are spread by what engines have yet to compute
    Given a scheduler with engines "one, two" of 30000 tokens
    When 6 runs of 3000 tokens come at once
    Then 2 are put on each engine, and 2 wait
    When 0.5 s pass and the queue is served
    Then the 2 that waited are put on engines

  Scenario: A prompt that takes longer than it may begins on an engine that computes no other
    Given a scheduler with engines "one" of 30000 tokens
    When 1 runs of 20000 tokens come at once
    Then 1 are put on each engine, and 0 wait

  Scenario Outline: An engine's rate is learnt from its first tokens
    Given an engine that computes <rate> prompt tokens a second
    When 40 prompts of 4000 tokens come <pause> s after each other
    Then its rate is taken for <rate> within 20 in 100

    Examples:
      | rate  | pause |
      | 7000  | 0.7   |
      | 2000  | 1.5   |
      | 50000 | 0.1   |
