Feature: Beside an entry whose service is half a character, drains and documents are followed

  # Guards against daemons of all domains that stop following the store by such an entry: they go on
  # sending to engines that drain and serving an older document, also when they are started again.
  Scenario Outline: Another writer's entry stands <where> an engine's, then engines drain
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And an engine "desk-2" of "desk" in "lagos"
    And an engine "desk-3" of "desk" in "kano"
    And an engine "desk-4" of "desk" in "lagos"
    And an engine "planner-1" of "planner" in "lagos"
    And an engine "planner-2" of "planner" in "kano"
    And routed daemons "a, b" in "lagos"
    And routed daemons "m" in "kano"
    Then requests through each of "a, b" reach "desk-1"
    And requests through each of "m" reach "desk-3"
    When another writer's entry of half a character as service stands <where> that of "desk-2"
    And every daemon has had 5 s to follow the store in place of others
    And the engines "desk-1, desk-3, planner-1" drain by the store, and document 9 has other routes
    Then from 2.5 s on "a, b, m" send to no engine that drains, and serve document 9
    When routed daemon "a" is killed and started again
    And routed daemon "m" is killed and started again
    Then from 2.5 s on "a, b, m" send to no engine that drains, and serve document 9
    And no loop of "a, b, m" has failed
    And no log line of "a, b, m" is lost

    Examples:
      | where       |
      | beside      |
      | in place of |

  # Guards against a daemon that begins to follow and publishes the servers of its last own reading,
  # by which engines that have drained since are live again.
  Scenario: An engine that drained before the entry is not sent to when another daemon follows
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And an engine "desk-2" of "desk" in "lagos"
    And an engine "planner-1" of "planner" in "lagos"
    And routed daemons "b, a" in "lagos"
    And every daemon has had 3 s to follow the store in place of others
    And routed daemons "c" in "lagos"
    Then requests through each of "a, b, c" reach "desk-1"
    When the engines "desk-1" drain by the store, and document 9 has other routes
    Then from 2.5 s on "a, b, c" send to no engine that drains, and serve document 9
    When another writer's entry of half a character as service stands beside that of "desk-2"
    And every daemon has had 5 s to follow the store in place of others
    Then from 2.5 s on "a, b, c" send to no engine that drains, and serve document 9
    When daemon "a" is killed
    And every daemon has had 5 s to follow the store in place of others
    Then from 2.5 s on "b, c" send to no engine that drains, and serve document 9
