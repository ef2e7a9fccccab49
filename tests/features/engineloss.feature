Feature: Engines that die together cost little more than what ran on them

  Scenario Outline: Requests that come after the loss are served, on a budget of ten retries
    Given a platform with both teams' settings
    And service "planner" of team "sound-trust" has "kind = model, retry_share = 0"
    And 3 engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "a" in domain "lagos-1" of region "lagos"
    And a plan of 10 tokens is whole
    When 2 of the engines are killed and 100 plans of 10 tokens are sent in the <span> s after
    Then every plan sent is whole

    Examples:
      | span |
      | 0.5  |
      | 0    |

  # Guards against two engines at work on one generation (the class of review/6): the engine before
  # refuses connections for a moment and lives.
  Scenario Outline: A generation that was <sent> an engine which refuses connections is <ended>
    Given a generation that was <sent> an engine which refuses connections
    When it is given up, and the engine takes connections again 0.4 s later
    Then within 4 s the engine is told <times> to cancel the generation

    Examples:
      | sent        | ended               | times   |
      | sent to     | cancelled later     | once    |
      | not sent to | nobody's to cancel  | nothing |
