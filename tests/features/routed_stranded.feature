Feature: Daemons that are cut off from all servers serve their callers through daemons that are not

  Background:
    Given a platform store with document 5
    And 3 engines of "desk" in "lagos"
    And 2 engines of "planner" in "lagos"
    And 3 engines of "desk" in "kano"
    And 2 engines of "planner" in "kano"
    And daemons "a, b" in "lagos" and "m, n" in "kano" that can be cut off from servers

  # Guards against callers of cut-off daemons being refused or kept waiting (incident RECOVER).
  Scenario Outline: What comes to a cut-off daemon is served through another
    When daemons "<cut>" are cut off from all servers, with connections <how>
    And 3 s have passed
    Then 12 calls of each kind through "<cut>" are served, and each has run once
    And 4 plans through "<cut>" are served whole, and each has run once
    When daemons "<cut>" reach the servers again
    And 2 s have passed
    Then 4 calls of each kind through "<cut>" are served, and each has run once
    And daemons "<cut>" send to servers themselves

    Examples:
      | cut     | how     |
      | a       | hanging |
      | a       | refused |
      | a, b    | hanging |
      | a, b    | reset   |
      | a, b    | refused |
      | a, b, m | hanging |

  # Guards against plans being cut off that run on connections from before the cut.
  Scenario: A plan lives on where only new connections are refused
    When a plan of 150 events is begun through "a"
    And daemons "a, b" are cut off from all servers, with connections refused
    Then the plan that was begun comes whole

  # Guards against servers being taken for dead, and requests for their killers, by who is cut off.
  Scenario: A daemon that is cut off gives no strikes
    When 6 plans of 600 events are begun through "a"
    And daemons "a" are cut off from all servers, with connections reset
    And 2 s have passed
    Then "a" has given no strikes

  # Guards against a daemon that sends to an engine whose answer, which another daemon got for it, said that it leaves (rule DRAIN).
  Scenario: Who is served through another hears of the servers that leave
    When "desk-lagos-1, desk-lagos-2" say in their answers that they leave
    And daemons "a" are cut off from all servers, with connections refused
    And 1 s have passed
    And calls are sent through "a" until "desk-lagos-1, desk-lagos-2" have answered
    And daemons "a" reach the servers again
    And 2 s have passed
    Then 24 calls through "a" leave "desk-lagos-1, desk-lagos-2" alone, and "a" sends them itself

  # Guards against a daemon that exceeds a limit which another daemon heard of for it (rule LIMIT).
  Scenario: Who is served through another hears of limits
    When daemons "a" are cut off from all servers, with connections refused
    And 1 s have passed
    And "desk-lagos-1" limits all daemons together to 2 requests a second
    And each of "a, b, m, n" gets 6 calls of "/view/1" a second for 6 s
    And daemons "a" reach the servers again
    And each of "a, b, m, n" gets 6 calls of "/view/1" a second for 6 s
    Then "a" has sent requests itself, and none to "desk-lagos-1" without knowing its limit
    And "desk-lagos-1" got no more than its limit allows, in any 4 s
    And every call was answered 200

  # Guards against refusing callers whom daemons that stop, and still serve their own, could serve (rule RECOVER).
  Scenario: Daemons that stop serve what comes to a cut-off daemon as long as they serve their own callers
    When daemons "a" are cut off from all servers, with connections refused
    And 3 s have passed
    And routed daemons "b, m, n" are asked to stop at once
    Then 1 calls of each kind through "b, m, n" are served, and each has run once
    And 4 calls of each kind through "a" are served, and each has run once
    And 1 calls of each kind through "b, m, n" are served, and each has run once

  # Guards against waiting for what cannot come.
  Scenario: Where nobody reaches a server, callers are refused at once
    When daemons "a, b, m, n" are cut off from all servers, with connections hanging
    And 2 calls of each kind are sent through "a, b, m, n"
    And 2 s have passed
    Then calls and plans through "a, b, m, n" are answered 503 with ran "no" and Retry-After within 0.5 s

  # Guards against engines that work on for callers who have left.
  Scenario: Who leaves is cancelled at the server as well
    When daemons "a, b" are cut off from all servers, with connections refused
    And a caller of a plan of 2000 events through "a" leaves after 1.5 s
    Then no engine works on a plan 0.5 s later

  # Guards against a request that may have run being called not run, and against waiting for the dead.
  Scenario: A daemon that ends while it serves for another does not end the caller's hope of the truth
    When daemons "a, b, m" are cut off from all servers, with connections refused
    And 1 s have passed
    And a plan of 600 events is begun through "a"
    And daemon "n" is killed
    Then the plan that was begun ends early and does not look complete

  # Guards against requests that are cut, or sent on with too little time left, at a daemon which
  # stops while it relays, or serves for one that does.
  Scenario: Who relays and who serves for it are both stopped
    Given engines of "desk" take 2 s for each call
    When daemons "a" are cut off from all servers, with connections refused
    And 1 s have passed
    And callers send requests through "a" while first "b" and then "a" itself is stopped
    Then each request that was sent whole has a whole answer, or a stream that is seen to break off
    And no request that was answered 503 has run, and each 503 says when to come again
    And no unsafe request has run twice
    And "a, b" ended by themselves within their grace, with status 0
