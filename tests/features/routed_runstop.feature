Feature: What is known of a run once its engine was ordered to stop it

  Scenario Outline: An engine that <does>
    Given an engine that <does>
    When it is ordered to stop a run
    Then the outcome is "<outcome>" within <seconds> s

    Examples:
      | does                                    | outcome      | seconds |
      | stops it                                | RunCopied    | 0.3     |
      | stops it after 1.5 s, and reports       | RunCopied    | 2       |
      | stops it at the third order             | RunCopied    | 0.8     |
      | has no such run                         | RunEnded     | 0.3     |
      | refuses every order                     | RunContinues | 2.6     |
      | has ended                               | EngineLost   | 0.3     |
      | is frozen                               | OrderLost    | 1.2     |
      | wants to be left alone                  | RunContinues | 2.6     |
      | wanted to be left alone and has ended   | EngineLost   | 0.3     |

  # Guards against memory that is held by a copy which nobody goes on from.
  Scenario: The copy of an engine that continues too late is dropped
    Given an engine that is frozen for 1.6 s
    When it is ordered to stop a run
    Then the outcome is "OrderLost" within 1.2 s
    And its copy is dropped once it continues
