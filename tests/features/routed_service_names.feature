Feature: Model services are served whatever their names

  # Guards against a model service without a scheduler, all of whose requests are refused.
  Scenario Outline: Plans of a model service named <name> are served
    Given a platform store with a document whose model service is named "<name>"
    And an engine "planner-1" of "<name>" in "lagos"
    And routed daemons "a, b" in "lagos"
    Then plans of that service through "a, b" are answered 200 by "planner-1"
    And the log of "a" has no line "settings rejected, loop failed, task failed"
    And the log of "b" has no line "settings rejected, loop failed, task failed"

    Examples:
      | name             |
      | My_Planner       |
      | plan/ner         |
      | plan*, [ner] # ; |
      | Größe = 100%20   |

  # Guards against names that no list of ours has foreseen, and against settings that other daemons cannot read.
  Scenario: Whatever a service's name, its settings and its engines are found, here and by other daemons
    Then 300 random names of model services each have their settings and their own engines alone

  # Guards against settings that differ from those of the landing before, though the version is the same.
  Scenario: The settings of usual names are written as before
    Then the settings of model service "planner-2.x" hold its name as it is
