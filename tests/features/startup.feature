Feature: A daemon starts with what every daemon needs, and loads the rest on first use

  Scenario: A daemon that schedules has loaded numpy before the first request
    Given a platform store with document 5
    And an engine "planner-1" of "planner" in "lagos"
    And a routed daemon "a" in "lagos"
    Then the process of "a" has not loaded "numpy" when it is ready
    And the process of "a" loads "numpy"
    When a plan of 50 events is streamed through "a"
    Then the plan is whole

  Scenario: The first forecast works where it comes before that
    Given a platform store with document 5
    And an engine "planner-1" of "planner" in "lagos"
    And a routed daemon "a" in "lagos"
    When a plan of 50 events is streamed through "a"
    Then the plan is whole

  Scenario: Only a lasting owner of a cell loads what forecasts need
    When a daemon owns cells at seconds "0, 1, 2" and "4, 5, 6, 7" of 8
    Then it has prepared forecasts at second 7 only

  Scenario: A daemon that is not asked for more has loaded what every daemon needs
    Then importing the daemon loads none of "numpy, fire, hdrh"

  Scenario: What attrs generates is compiled at the build, not at the start
    When the build compiles the daemon's classes into a folder
    Then a start with that folder compiles no class

  Scenario Outline: A start that cannot use the compiled classes compiles them itself
    When the build compiles the daemon's classes into a folder
    And the file there is <state>
    Then a start with that folder compiles all classes

    Examples:
      | state             |
      | missing           |
      | of another Python |
      | cut short         |
