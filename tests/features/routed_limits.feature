Feature: A server's limit holds for all daemons together

  Scenario: Daemons of all domains together keep to the limit of a server, and use it
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And an engine "desk-2" of "desk" in "kano"
    And routed daemons "a, b" in "lagos"
    And routed daemons "c, d" in "kano"
    When "desk-1" limits all daemons together to 2 requests a second
    And each of "a, b, c, d" gets 6 calls of "/view/1" a second for 14 s
    Then "desk-1" got no more than its limit allows, in any 4 s
    And "desk-1" got at least 0.4 of its limit
    And every call was answered 200

  Scenario: Where every server has a limit, callers are told at once when to come again
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And routed daemons "a, b" in "lagos"
    And routed daemons "c, d" in "kano"
    When "desk-1" limits all daemons together to 2 requests a second
    And each of "a, b, c, d" gets 6 calls of "/book/1" a second for 14 s
    Then "desk-1" got no more than its limit allows, in any 4 s
    And "desk-1" got at least 0.7 of its limit
    And every call that was not answered 200 was refused within 0.5 s and told when to come again

  Scenario: Daemons that hear no peer keep to a limit together
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And routed daemons "a, b, c, d" in "lagos" that hear no peer
    When "desk-1" limits all daemons together to 4 requests a second
    And each of "a, b, c, d" gets 6 calls of "/book/1" a second for 14 s
    Then "desk-1" got no more than its limit allows, in any 4 s
    And "desk-1" got at least 0.5 of its limit
    And every call that was not answered 200 was refused within 0.5 s and told when to come again

  Scenario: A limit holds while the store is away and daemons are killed and started again
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And routed daemons "a, b, c, d" in "lagos"
    When "desk-1" limits all daemons together to 2 requests a second
    And each of "a, b, c, d" gets 6 calls of "/book/1" a second for 5 s
    And the store is down
    And each of "a, b, c, d" gets 6 calls of "/book/1" a second for 3 s
    And routed daemon "a" is killed and started again
    And routed daemon "b" is killed and started again
    And each of "a, b, c, d" gets 6 calls of "/book/1" a second for 9 s
    Then "a" has sent no request since its start without knowing the limit
    And "b" has sent no request since its start without knowing the limit
    And "desk-1" got no more than its limit allows, in any 4 s
    And "desk-1" got at least 0.3 of its limit

  Scenario: A daemon that starts again hears of a limit before it serves
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And routed daemons "a, b, c" in "lagos"
    When "desk-1" limits all daemons together to 2 requests a second
    And each of "a, b, c" gets 6 calls of "/book/1" a second for 3 s
    And the store is down
    And routed daemon "a" is killed and started again
    And each of "a, b, c" gets 6 calls of "/book/1" a second for 4 s
    Then "a" has sent no request since its start without knowing the limit

  Scenario: A limit that falls holds at once, and one that is lifted is forgotten
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And routed daemons "a, b" in "lagos"
    And a routed daemon "c" in "kano"
    When "desk-1" limits all daemons together to 8 requests a second
    And each of "a, b, c" gets 10 calls of "/book/1" a second for 8 s
    Then "desk-1" got no more than its limit allows, in any 4 s
    When "desk-1" limits all daemons together to 1 requests a second
    And each of "a, b, c" gets 10 calls of "/book/1" a second for 10 s
    Then "desk-1" got no more than its limit allows, in any 4 s
    When "desk-1" names no limit any more
    And each of "a, b, c" gets 10 calls of "/book/1" a second for 4 s
    Then POST "/book/2" through "a" is soon answered 200 by "desk-1"
    And each of "a, b, c" gets 10 calls of "/book/1" a second for 2 s, all answered 200

  Scenario: Generations keep to the limit of a model engine
    Given a platform store with document 5
    And an engine "plan-1" of "planner" in "lagos"
    And routed daemons "a, b" in "lagos"
    And a routed daemon "c" in "kano"
    When "plan-1" limits all daemons together to 1.5 requests a second
    And each of "a, b, c" gets 5 plans a second for 12 s
    Then "plan-1" got no more than its limit allows, in any 4 s
    And "plan-1" got at least 0.5 of its limit
    And every call that was not answered 200 was refused within 1 s and told when to come again

  Scenario: A limit that is not a number lifts nothing
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And a routed daemon "a" in "lagos"
    When "desk-1" limits all daemons together to 1 requests a second
    And each of "a" gets 8 calls of "/book/1" a second for 4 s
    And "desk-1" names the limit "many"
    And each of "a" gets 8 calls of "/book/1" a second for 8 s
    Then "desk-1" got no more than its limit allows, in any 4 s

  Scenario: A run is moved to an engine with a limit once it is permitted there
    Given a platform store with document 5
    And an engine "plan-1" of "planner" in "lagos"
    And an engine "plan-2" of "planner" in "lagos" that is listed last
    And routed daemons "a, b" in "lagos"
    When a plan of 300 events is streamed through "a"
    And "plan-2" limits all daemons together to 2 requests a second
    And "plan-1" says in its answers that it leaves
    Then the plan is whole
    And the run went on at "plan-2" where it had stopped at "plan-1"
