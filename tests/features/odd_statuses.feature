Feature: A head whose status HTTP does not have is no answer

  # Guards against an answer of status 600 or 999 that reaches the caller, and against a caller who
  # waits for its whole time after a head of status 000 (incident MIXED).
  Scenario Outline: A <kind> that is answered <status> (<fault>) gets 502 at once
    Given a platform store with document 5
    And an engine "<service>-1" of "<service>" in "lagos"
    And a routed daemon "a" in "lagos"
    When "<service>-1" has fault "<fault>" and status "<status>"
    And a <kind> is sent through "a", and timed
    Then it is answered 502 within 3 s
    And it ran once on "<service>-1"

    Examples:
      | kind             | service | fault              | status |
      | call             | desk    | odd_status         | 000    |
      | call             | desk    | odd_status         | 099    |
      | call             | desk    | odd_status         | 600    |
      | call             | desk    | odd_status         | 999    |
      | call             | desk    | odd_status         | 0200   |
      | call             | desk    | odd_status_interim | 101    |
      | call             | desk    | odd_status_interim | 000    |
      | call             | desk    | endless_body       | 000    |
      | call             | desk    | endless_chunks     | 000    |
      | call             | desk    | endless_body       | 600    |
      | plan of 5 events | planner | odd_status         | 000    |
      | plan of 5 events | planner | odd_status         | 600    |
      | plan of 5 events | planner | odd_status         | 999    |
      | plan of 5 events | planner | odd_status_interim | 101    |
      | plan of 5 events | planner | endless_event      | 000    |
      | plan of 5 events | planner | endless_body       | 600    |

  Scenario Outline: A repeatable call that is answered <status> goes to another server
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And an engine "desk-2" of "desk" in "kano"
    And a routed daemon "a" in "lagos"
    When "desk-1" has fault "<fault>" and status "<status>"
    And 4 repeatable calls are sent through "a", and timed
    Then each of them is answered 200 by "desk-2", within 3 s
    And "desk-1" has run at least one of them

    Examples:
      | fault        | status |
      | odd_status   | 000    |
      | odd_status   | 600    |
      | endless_body | 000    |

  # Guards against a control call that fails only at the end of its time, or that succeeds.
  Scenario: No call to a server takes a status out of range for an answer, nor waits for its time
    Then each head of an odd status, with a body or without an end, is refused at once
    And each final status of HTTP is read as it is, also after interim answers

  # Guards against a plain service of the own interface whose status 600 reaches the caller.
  Scenario Outline: A <method> of the own interface that is answered <status> gets 502
    Given a platform with both teams' settings
    And 1 plain service "ledger" in domain "accra-1" of region "accra"
    And daemons "a" in domain "accra-1" of region "accra"
    When a <method> whose service answers with status "<status>" is made through "a"
    Then it is answered 502 within 3 s

    Examples:
      | method | status |
      | PUT    | 000    |
      | PUT    | 600    |
      | PUT    | 999    |
      | POST   | 000    |
      | POST   | 600    |
