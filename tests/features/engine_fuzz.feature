Feature: Nothing that an engine reports or generates harms another request

  # Guards against errors of a report's decoder that its callers do not expect, and against values
  # that fail later, where the engine is chosen or emptied.
  Scenario: Whatever an engine's report and its answer to a move hold, they are refused or sound
    Then 400 random reports are refused or decoded into values that can be used
    And 400 random answers to moves are refused or name a handle that can be sent

  # Guards against a whole list that is lost by one row: none of the engine's runs would be moved.
  Scenario: An odd row of an engine's runs costs that row, and an odd time only the time
    When an engine reports odd times until it ends, and odd rows among its runs
    Then its runs are those of the other rows
    And the time until it ends is not known

  # Guards against generated text that reaches the caller altered, and against errors that end the
  # loops which read engines.
  Scenario: Whatever an engine streams, its text is passed on exactly or the stream breaks off
    Then 400 random events are refused or decoded exactly
    And a character that is split over two events breaks the stream off

  Scenario: Whatever an engine answers to a control call, it is refused or sound
    Then 200 random answers to each control call are refused or decoded into sound values
