Feature: The log of a request is told, whatever its lines hold

  # Guards against one odd line that ends the command, and against lines that are not found since
  # the request's id is written in another form of JSON.
  Scenario: Odd lines are told or left out
    Given the log lines of a request with odd times, ids, names and values
    Then each of its lines is told as one printable line
    And of 500 random logs each line of the request is told as one printable line

  # Guards against an id that is taken for a number and not found.
  Scenario Outline: The id "<request>" is taken as it is
    When the program is called to explain "<request>" from a log that names it
    Then it tells one line

    Examples:
      | request          |
      | 1234567890123e45 |
      | 1_000            |
      | 0x1f             |
      | [a]              |
      | None             |
