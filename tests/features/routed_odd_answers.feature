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
