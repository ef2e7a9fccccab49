Feature: Each log line is written, whatever its fields hold

  # Guards against a line that is lost, or named and found no longer, for one value that JSON cannot
  # hold, and against a line so long that it fills the log or the memory.
  Scenario: A line with an odd value is written with its type, its request and its other fields
    When a process logs each odd value
    Then each line is whole, shorter than 256 KiB, and names its type, request and daemon
    And each value that can be shown is shown

  # Guards against values that nobody thought of.
  Scenario: Lines with random values are written
    When a process logs 1000 random values
    Then each line is whole, shorter than 256 KiB, and names its type, request and daemon
