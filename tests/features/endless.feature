Feature: Bytes without end from a server in trouble are cut off, and the daemon stays as it was

  # Guards against an answer that fills the daemon, or keeps it and the caller waiting for ever.
  Scenario Outline: A call goes to another server where it may, and is cut off in any case
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And an engine "desk-2" of "desk" in "kano"
    And a routed daemon "a" in "lagos"
    When "desk-1" has fault "<fault>"
    Then GET "/view/1" through "a" is answered 200 by "desk-2"
    And POST "/book/1" through "a" is answered 502
    And "desk-1" has no open run soon
    And the peak memory of "a" is under 150 MB

    Examples:
      | fault           |
      | endless_noise   |
      | endless_line    |
      | endless_head    |
      | endless_interim |
      | endless_body    |
      | endless_chunks  |

  Scenario Outline: A plan ends, with a head that came or without one
    Given a platform store with document 5
    And an engine "plan-1" of "planner" in "lagos"
    And a routed daemon "a" in "lagos"
    When "plan-1" has fault "<fault>"
    And a plan of 20 events is asked for through "a" by a caller that waits 12 s
    Then it has ended within <limit> s, and not as a whole answer
    And "plan-1" has no open run soon
    And the peak memory of "a" is under 150 MB

    Examples:
      | fault            | limit |
      | endless_noise    | 5     |
      | endless_head     | 5     |
      | endless_interim  | 5     |
      | endless_event    | 5     |
      | endless_comments | 5     |
      | endless_old      | 5     |

  Scenario Outline: Bytes that trickle end with the caller's time
    Given a platform store with document 5
    And an engine "<engine>" of "<service>" in "lagos"
    And a routed daemon "a" in "lagos"
    When "<engine>" has fault "<fault>"
    And "<engine>" sends a piece each 0.2 s
    And <kind> of 20 events is asked for through "a" by a caller that waits 3 s
    Then it has ended within 4 s, and not as a whole answer
    And "<engine>" has no open run soon

    Examples:
      | engine | service | kind   | fault          |
      | desk-1 | desk    | a call | endless_line   |
      | desk-1 | desk    | a call | endless_body   |
      | plan-1 | planner | a plan | endless_head   |
      | plan-1 | planner | a plan | endless_event  |
      | plan-1 | planner | a plan | endless_old    |

  Scenario: Many such answers at once do not fill the daemon
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And an engine "plan-1" of "planner" in "lagos"
    And a routed daemon "a" in "lagos"
    When "desk-1" has fault "endless_body"
    And 40 calls of "/book/1" are made at once through "a"
    Then the peak memory of "a" is under 150 MB
    And no call was answered 200
    And another plan is served through "a"

  # Guards against a load report that never ends, which kept its engine from being asked again.
  Scenario Outline: Reports without end are given up, and asked for again
    Given a platform store with document 5
    And an engine "plan-1" of "planner" in "lagos"
    And a routed daemon "a" in "lagos"
    When "plan-1" reports with fault "<fault>" and a piece each <pause> s
    Then reports are still asked of "plan-1" 4 s later
    And the peak memory of "a" is under 150 MB

    Examples:
      | fault           | pause |
      | endless_noise   | 0     |
      | endless_interim | 0     |
      | endless_body    | 0     |
      | endless_body    | 0.3   |
      | endless_line    | 0.3   |

  Scenario: A stream is told from bytes without end, whatever its pace
    Given a stream whose engine may send bytes for 1.5 s without a new event
    Then it may send 200000 bytes over 30 s before its first event
    When an event comes
    Then it may pause for 30 s, and complete the next event in three pieces
    And bytes that bring no event for 1.6 s end it

  Scenario: The own interface gives up an engine whose bytes bring no event
    Given an engine of the own protocol that sends comments without end
    Then a stream from it is given up within 5 s

  Scenario: Nor do those of plain services fill a daemon of the own interface
    Given a platform with both teams' settings
    And 1 plain service "ledger" in domain "accra-1" of region "accra"
    And daemons "a" in domain "accra-1" of region "accra"
    When 40 repeatable calls whose answers do not end are made at once through "a"
    Then each of them is answered 502 "answer_lost"
    And the peak memory of "a" is under 150 MB

  # Guards against a list of the store whose pages do not end, which the daemon kept whole.
  Scenario: A list of the store without end is given up, and requests are served meanwhile
    Given a platform store with document 5
    And an engine "plan-1" of "planner" in "lagos"
    And an engine "desk-1" of "desk" in "lagos"
    And a routed daemon "a" in "lagos"
    When the store has pages without end, and has forgotten its history
    Then calls are served through "a" for 10 s
    And the store has been asked for such pages
    And the peak memory of "a" is under 150 MB
    When the store is sound again, and lists an engine "plan-2" of "planner"
    Then "a" learns of it soon

  # Guards against refusals that are kept whole, each on its own, however many come at once.
  Scenario: Refusals without end of an engine of the own protocol are read in part
    Given an engine of the own protocol that refuses with status 500 and a text without end
    When 24 streams from it are opened at once
    Then they took less than 16 MB of memory at once
    And each of them is refused with status 500

  Scenario: Control answers without end of an engine of the own protocol are given up early
    Given an engine of the own protocol that refuses with status 200 and a text without end
    When its load is asked for by 24 at once
    Then they took less than 64 MB of memory at once
    And none of them has an answer

  # Guards against bytes without end of a part of an answer, or of a status, that nobody bounds: each
  # place in an answer has its own limit. 24 of either kind are made at once.
  Scenario Outline: Many answers of status <status> with <fault> at once end, and others are served
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And an engine "plan-1" of "planner" in "lagos"
    And a routed daemon "a" in "lagos"
    When "desk-1" has fault "<fault>" and status "<status>"
    And 24 calls of "/book/1" are made at once through "a", while plans are served
    Then each of these calls was answered <answer>
    And each of these plans was answered 200 within 3 s
    And the peak memory of "a" is under 150 MB
    And "desk-1" has no open run soon

    Examples:
      | fault             | status | answer |
      | endless_body      | 000    | 502    |
      | endless_chunks    | 000    | 502    |
      | endless_body      | 500    | 502    |
      | endless_chunks    | 503    | 502    |
      | endless_body      | 600    | 502    |
      | endless_extension | 200    | 502    |
      | endless_trailer   | 200    | 502    |
      | endless_surplus   | 200    | 200    |

  Scenario Outline: Many plans of status <status> with <fault> at once end, and calls are served
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And an engine "plan-1" of "planner" in "lagos"
    And a routed daemon "a" in "lagos"
    When "plan-1" has fault "<fault>" and status "<status>"
    And 24 plans are made at once through "a", while calls are served
    Then none of these plans was answered 200
    And each of these calls was answered 200 within 3 s
    And the peak memory of "a" is under 150 MB
    And "plan-1" has no open run soon

    Examples:
      | fault             | status |
      | endless_body      | 000    |
      | endless_body      | 500    |
      | endless_extension | 500    |

  Scenario: Answers without end to orders to copy or stop runs are given up
    Given a platform store with document 5
    And an engine "plan-1" of "planner" in "lagos"
    And an engine "plan-2" of "planner" in "lagos"
    And a routed daemon "a" in "lagos"
    When "plan-1" and "plan-2" answer orders with fault "endless_body"
    And 8 plans of 300 events are asked for through "a", and "plan-1" says that it leaves
    Then the peak memory of "a" is under 150 MB
    And each of these plans was whole
    And orders have been sent to "plan-1"

  Scenario: Answers of the store without end are given up, and requests are served meanwhile
    Given a platform store with document 5
    And an engine "plan-1" of "planner" in "lagos"
    And an engine "desk-1" of "desk" in "lagos"
    And a routed daemon "a" in "lagos"
    When the store answers without end
    Then calls are served through "a" for 6 s
    And the peak memory of "a" is under 150 MB
    When the store is sound again, and lists an engine "plan-2" of "planner"
    Then "a" learns of it soon

  # Guards against answers of the key-value service that are bounded one by one only, at 64 MB each.
  Scenario: Many answers without end of the key-value service at once are bounded together
    Given a server that answers with status 200 and a text without end
    When 24 writes to it as to a key-value service are made at once
    Then they took less than 64 MB of memory at once
    And the outcome of each of them is unknown
