Feature: A daemon starts with what every daemon needs, and loads the rest on first use

  Scenario: A daemon without a forecast to make has no numpy, and the first forecast works
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And an engine "planner-1" of "planner" in "lagos"
    And a routed daemon "a" in "lagos"
    Then GET "/view/1" through "a" is answered 200 by "desk-1"
    And the process of "a" has not loaded "numpy"
    When a plan of 50 events is streamed through "a"
    Then the plan is whole
    And the process of "a" has loaded "numpy"

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
