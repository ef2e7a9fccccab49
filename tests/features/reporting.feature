Feature: A scheduler knows how far streams are by their numbers, whatever is lost or replaced

  Background:
    Given a planner service with a batch of 6 for accounts "large"
    And 1 scheduled engine with memory 40000
    And daemons that log everything
    And daemons "a, b, c" that schedule

  Scenario: A stream is reported by its number, and never in full to the scheduler that placed it
    When 4 numbered streams of 1900 tokens run through the first entry daemon
    Then the numbered streams are whole
    And the first entry daemon reported progress often, and 0 streams in full
    And no scheduler missed a report

  Scenario: A stream that another daemon resumes is reported in full once
    When 1 numbered stream of 1900 tokens runs through the first entry daemon
    And the first entry daemon is killed
    And numbered stream 1 is resumed through the second entry daemon
    Then the numbered streams are whole
    And the second entry daemon reported progress often, and 1 stream in full
    And no scheduler missed a report

  Scenario: A scheduler that starts again under its name hears of every stream
    When 4 numbered streams of 1900 tokens run through the first entry daemon
    And the numbering scheduler is killed and started again
    Then the numbering scheduler has 4 streams on its ledger while they run
    And the numbered streams are whole
    And no scheduler missed a report

  Scenario: A scheduler that stood in for another forgets its streams when the other is back
    When 4 numbered streams of 1900 tokens run through the first entry daemon
    And the engine holds its streams still for 12 seconds
    And the numbering scheduler is killed
    Then the next scheduler has 4 streams on its ledger while they run
    When the numbering scheduler is started again
    Then the numbering scheduler has 4 streams on its ledger while they run
    And the next scheduler has 0 streams on its ledger while they run
    And the numbered streams are whole

  # A stream that nobody reads would be held for ever by reports about another of its number.
  Scenario: The numbers of a daemon's former process stand for nothing in the next
    Given the planner's resume window is 6 seconds
    And all daemons have the planner's second settings in force
    When 2 numbered streams of 6000 tokens run through the first entry daemon
    And the first entry daemon is killed and started again
    And numbered stream 2 is resumed through the first entry daemon
    Then the engine comes to run 1 stream, while numbered stream 2 is read
    And the numbered streams are whole
