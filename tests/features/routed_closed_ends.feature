Feature: What is known of a stream that ended with its connection

  Scenario Outline: An engine that <does>
    Given the engine of a stream that has ended with its connection <does>
    When the end of the stream is checked
    Then the stream counts as <kind> within <seconds> s

    Examples:
      | does                                      | kind     | seconds |
      | does not have the run any more            | complete | 0.2     |
      | still reports the run for a while         | complete | 0.8     |
      | reports the run on and on                 | broken   | 1.3     |
      | has started anew                          | broken   | 0.2     |
      | has ended                                 | broken   | 0.3     |
      | refuses to report, and accepts others     | complete | 0.3     |
      | is frozen                                 | complete | 1.5     |

  Scenario: A stream that ends at its caller's time limit is not complete
    Given the engine of a stream that has ended with its connection does not have the run any more
    And its caller waits for 0.05 s
    When the end of the stream is checked
    Then the stream counts as broken within 0.1 s

  Scenario Outline: An order to stop the run that is <answered>
    Given the engine of a stream that has ended with its connection does not have the run any more
    And an order to stop the run is <answered>
    When the end of the stream is checked
    Then the stream counts as <kind> within <seconds> s

    Examples:
      | answered                           | kind     | seconds |
      | not answered                       | broken   | 0.1     |
      | answered 404                       | complete | 0.2     |
      | answered 404 after 0.3 s           | complete | 0.6     |
      | carried out after 0.3 s            | broken   | 0.6     |

  # Guards against a stream that is told as complete because the order that stopped its run was
  # answered: it was sent for an earlier run there, and carried out after the run had come back.
  Scenario: An order from before the run came back to its engine, carried out there later
    Given the engine of a stream that has ended with its connection does not have the run any more
    And the run comes back to its engine, and an order from before is obeyed after 0.3 s
    When the end of the stream is checked after 0.4 s
    Then the stream counts as broken within 0.2 s

  # Guards against taking a run for ended by itself that a move stopped between two reports.
  Scenario: A move that stops the run while the end of its stream is checked
    Given the engine of a stream that has ended with its connection still reports the run for a while
    And the run is moved after 0.1 s, in 0.05 s
    When the end of the stream is checked
    Then the stream counts as broken within 0.6 s

  # Guards against a caller who waits for the end of a whole stream until a copy has arrived.
  Scenario: A move that has not stopped the run yet does not keep the caller waiting
    Given the engine of a stream that has ended with its connection does not have the run any more
    And the run is moved after 0 s, and its first copy takes 2.5 s
    When the end of the stream is checked after 0.1 s
    Then the stream counts as complete within 0.3 s

  # Guards against a check that outlives its caller, or takes the move with it.
  Scenario: A caller who leaves while the end is checked
    Given the engine of a stream that has ended with its connection reports the run on and on
    And the run is moved after 0 s, and its first copy takes 0.5 s
    When the caller leaves 0.1 s after the check of the end began
    Then the check has ended, and the move goes on to its end

  # Guards against a move from the engine that a lost run is leaving: the run can't be moved from
  # where it has gone on until that move has failed, and not at all after.
  Scenario: A run whose stream is lost is not moved while it is stopped at its engine
    Given the engine of a stream that has ended with its connection reports the run on and on
    When the run is stopped at its engine, since its stream is lost
    Then the run could be moved before, and can't be while it is stopped
