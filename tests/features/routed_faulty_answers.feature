Feature: Answers of a faulty engine are neither promises nor successes

  # Guards against "not run" for a request that an engine is running: the refusal is an earlier one's.
  Scenario Outline: An earlier refusal that is written once more says nothing of a <kind>
    Given a platform store with document 5
    And an engine "<service>-1" of "<service>" in "lagos"
    And an engine "<service>-2" of "<service>" in "lagos"
    And a routed daemon "a" in "lagos"
    When "<service>-1" has fault "old_refusal"
    And "<service>-2" has fault "old_refusal"
    And a <kind> is sent through "a"
    Then it is answered 502
    And it ran once on "<service>-1, <service>-2"

    Examples:
      | kind             | service |
      | call             | desk    |
      | plan of 5 events | planner |

  # Guards against a server's own status that promises "not run", for a call that it has run.
  Scenario Outline: A call that has run is not answered <status>
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And a routed daemon "a" in "lagos"
    When "desk-1" has fault "<fault>"
    And a call is sent through "a"
    Then it is answered 502
    And it ran once on "desk-1"

    Examples:
      | status | fault       |
      | 503    | promise     |
      | 429    | promise_429 |
      | 408    | promise_408 |

  # Guards against an empty answer that passes for whole, since its head broke off.
  Scenario Outline: An answer that breaks off in its head (<fault>) is no success of a <kind>
    Given a platform store with document 5
    And an engine "<service>-1" of "<service>" in "lagos"
    And a routed daemon "a" in "lagos"
    When "<service>-1" has fault "<fault>"
    And a <kind> is sent through "a"
    Then it is answered 502
    And it ran once on "<service>-1"

    Examples:
      | kind             | service | fault                   |
      | call             | desk    | half_head               |
      | call             | desk    | half_line               |
      | call             | desk    | half_head_after_interim |
      | plan of 5 events | planner | half_head               |
      | plan of 5 events | planner | half_line               |
      | plan of 5 events | planner | half_head_after_interim |

  # Guards against any place in an answer at which a break passes for its end.
  Scenario: An answer that is cut anywhere is told from a whole one
    Then each answer that is cut before its end fails, and each whole one does not
