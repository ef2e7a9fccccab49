Feature: What made a stream late can be seen

  # Half of all late streams were late by one long pause, and no line told of it.
  Scenario Outline: The longest gap between events is known with what made it
    Given a stream of which 5 events came 0.04 s after each other
    When <what happens>
    And the next event comes 0.05 s later
    Then the longest gap was <seconds> s after <events> events, by <cause>

    Examples:
      | what happens                                                              | seconds | events | cause       |
      | the next event comes 0.2 s later                                          | 0.2     | 5      | engine      |
      | the next event comes 0.3 s later, while the run is copied                 | 0.3     | 5      | copy        |
      | its caller takes 0.5 s to read an event, and the next one comes at once   | 0.5     | 6      | caller      |
      | the run leaves its engine: move                                           | 0.05    | 5      | move        |
      | the run leaves its engine: engine lost                                    | 0.05    | 5      | engine lost |

  Scenario: A stream of one event has no gap
    Given a stream of which 1 events came 0.04 s after each other
    Then no gap is logged
