Feature: Whatever an engine answers, its caller gets a whole answer or a true refusal

  # Guards against an answer that ends as an error of ours, hangs, or leaves no line in the log.
  Scenario Outline: Odd answers of an engine to a <kind> end as whole answers or true refusals
    Given a platform store with document 5
    And an engine of "<service>" in "lagos" that answers with any bytes
    And a routed daemon "a" in "lagos"
    When each odd answer is given to a <kind> that is sent through "a"
    Then each was answered in time, and none by an error of the daemon
    And each has one line "request ended" in the log of "a"
    And no loop of "a" has failed

    Examples:
      | kind             | service |
      | call             | desk    |
      | plan of 3 events | planner |

  # Guards against "may have run" for a request of which nothing was sent, and against its error,
  # which was in no log line.
  Scenario Outline: A request with <what> is not sent, and has not run
    Given a server that counts what it is sent
    When a request with <what> is sent to it
    Then it fails as not executed, and nothing has arrived

    Examples:
      | what                            |
      | an account with a NUL           |
      | a header with a line end        |
      | a method with a line end        |
      | a target with a line end        |
