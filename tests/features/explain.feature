Feature: The log of a request is told, whatever its lines hold

  # Guards against one odd line that ends the command, and against lines that are not found since
  # the request's id is written in another form of JSON.
  Scenario: Odd lines are told or left out
    Given the log lines of a request with odd times, ids, names and values
    Then each of its lines is told as one printable line
    And of 500 random logs each line of the request is told as one printable line
