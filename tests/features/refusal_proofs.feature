Feature: Callers are told that a request has not run only where that is proved

  # Guards against "not run" for a request that ran, and against running it again: the answer of the server does not show that it refused this request (incident REFUSED).
  Scenario Outline: A <kind> that has run and is answered with <answer> is no "not run", and does not run again
    Given a platform store with document 5
    And an engine "<service>-1" of "<service>" in "lagos"
    And an engine "<service>-2" of "<service>" in "lagos"
    And a routed daemon "a" in "lagos"
    When "<service>-1, <service>-2" run what they get, and then answer with <answer>
    And a <kind> is sent through "a"
    Then it is answered <status>
    And it ran once on "<service>-1, <service>-2"

    Examples:
      | kind             | service | answer                                 | status |
      | call             | desk    | a 503 that says not run and names no call | 502    |
      | plan of 5 events | planner | a 503 that says not run and names no call | 502    |
      | call             | desk    | a 503 whose "not run" is 0             | 502    |
      | plan of 5 events | planner | a 503 whose "not run" is 0             | 502    |
      | call             | desk    | a 421 that is signed                   | 502    |
      | plan of 5 events | planner | a 421 that is signed                   | 502    |
      | call             | desk    | a 503 that says not run and is signed  | 502    |
      | call             | desk    | a 500 that says not run                | 500    |
      | call             | desk    | a 200 that says not run                | 502    |

  # Guards against a promise to the caller of a call that may be repeated: it holds for every request.
  Scenario Outline: A repeatable call that has run is not answered <status>
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And a routed daemon "a" in "lagos"
    When "desk-1" run what they get, and then answer with a signed <status>
    Then GET "/view/1" through "a" is answered 502
    And "desk-1" has run it

    Examples:
      | status |
      | 408    |
      | 421    |
      | 429    |
      | 503    |

  # Guards against losing requests to true refusals, which let them be sent to another server.
  Scenario Outline: A true refusal lets a <kind> run elsewhere
    Given a platform store with document 5
    And an engine "<service>-1" of "<service>" in "lagos"
    And an engine "<service>-2" of "<service>" in "lagos"
    And a routed daemon "a" in "lagos"
    When "<service>-1" has fault "shed"
    And a <kind> is sent through "a"
    Then it is answered 200
    And it ran once on "<service>-1, <service>-2"

    Examples:
      | kind             | service |
      | call             | desk    |
      | plan of 5 events | planner |

  # Guards against every other answer that passes for "not run": a table of odd ones, drawn at random and the same each time.
  Scenario Outline: No odd answer to a <kind> that has run <way> is told as "not run", or lets it run again
    Given a platform store with document 5
    And 2 servers of "<service>" in "lagos" that run all and then answer as scripted
    And daemons "a, b" in "lagos" and "m" in "kano" that can be cut off from servers
    When daemons "<cut>" are cut off from all servers, with connections refused
    Then no odd answer to a <kind> through "a" is told as "not run", or lets it run more than <most> times

    Examples:
      | kind             | way         | service | cut | most |
      | call             | here        | desk    | m   | 1    |
      | repeatable call  | here        | desk    | m   | 2    |
      | plan of 3 events | here        | planner | m   | 1    |
      | call             | over relays | desk    | a   | 1    |
      | repeatable call  | over relays | desk    | a   | 2    |
      | plan of 3 events | over relays | planner | a   | 1    |
