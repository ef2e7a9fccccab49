Feature: Requests of routes and accounts with home regions are served there only

  Scenario Outline: Where a route and an account have homes, both bind
    Given a route with homes "<route>" and an account with homes "<account>"
    Then its requests may go to "<regions>" of "lagos, kano, enugu"

    Examples:
      | route       | account     | regions            |
      | any         | any         | lagos, kano, enugu |
      | kano        | any         | kano               |
      | any         | lagos, kano | lagos, kano        |
      | kano, enugu | lagos, kano | kano               |
      | kano        | lagos       | none               |
      | nowhere     | any         | none               |
      | kano, mars  | any         | kano               |

  # Guards against a list that cannot be read opening more regions than it names.
  Scenario Outline: A document whose route has homes that are <odd>
    Then a document whose route has homes <value> allows "<regions>" there, and the other routes all

    Examples:
      | odd          | value              | regions |
      | empty        | []                 | all     |
      | missing      | null               | all     |
      | doubled      | ["kano", "kano"]   | kano    |
      | not a list   | "kano"             | none    |
      | numbers      | [1, 2]             | none    |
      | half numbers | ["kano", 7]        | none    |
      | unknown      | ["mars"]           | none    |
      | an object    | {"kano": true}     | none    |

  Scenario: A change of homes holds for a request that waits
    Given a request admitted when its route had homes "lagos"
    When a document comes into force in which its route has homes "kano"
    Then it may go to "kano" only

  Scenario: Other domains are asked only in the home regions
    Given domains "lagos-b" in "lagos", "kano-a" in "kano" and "enugu-a" in "enugu" that have room
    When a request with homes "kano" finds no place in "lagos-a"
    Then "kano-a" only is asked

  # Guards against requests refused while places are free, in a third domain or a moment later.
  Scenario: A daemon outside the homes asks until a place there comes free
    Given engines in domains "lagos-a" of "lagos", "kano-a" and "kano-b" of "kano"
    And "kano-a" never has a place, and "kano-b" has one after 0.4 s
    When a request with homes "kano" that may wait for 2 s is placed in "lagos-a"
    Then it has a place in "kano-b" after 0.4 to 1 s, and "lagos-a" was not asked

  Scenario: A request whose home regions have no engine is refused at once
    Given engines in domains "lagos-a" of "lagos", "kano-a" and "kano-b" of "kano"
    When a request with homes "enugu" that may wait for 2 s is placed in "lagos-a"
    Then it is refused with 503 and a time to return within 0.1 s

  Scenario: A request whose homes have no place in time is refused
    Given engines in domains "lagos-a" of "lagos", "kano-a" and "kano-b" of "kano"
    And "kano-a" never has a place, and "kano-b" has one after 60 s
    When a request with homes "kano" that may wait for 0.5 s is placed in "lagos-a"
    Then it is refused with 503 and a time to return within 0.8 s

  # Guards against requests refused while places are free, since they had waited in a drained domain.
  Scenario: A request that waits in a queue while its domain is drained is placed elsewhere
    Given engines in domains "lagos-a" of "lagos", "kano-a" and "kano-b" of "kano"
    And "kano-a" never has a place, and "kano-b" has one after 0.9 s
    When a request that may wait for 2 s waits in "lagos-a", which is drained after 0.5 s
    Then it has a place in "kano-b" after 0.8 to 1.4 s, and "lagos-a" was not asked

  Scenario: A request that waits in a drained domain waits no longer than it may
    Given engines in domains "lagos-a" of "lagos", "kano-a" and "kano-b" of "kano"
    And "kano-a" never has a place, and "kano-b" has one after 60 s
    When a request that may wait for 1 s waits in "lagos-a", which is drained after 0.5 s
    Then it is refused with 503 and a time to return within 1.4 s

  Scenario: Runs are moved and copied to engines in their homes only
    Given engines in domains "lagos-a" of "lagos", "kano-a" and "kano-b" of "kano"
    Then a run in "kano-a" with homes "kano" may be moved to "kano-b" only
    And a run in "kano-a" with homes "any" may be moved to "kano-b, lagos-a"
    And a run in "kano-a" with homes "kano" does not continue at a copy in "lagos-a"

  Scenario: Real daemons keep requests at home, over changes of homes
    Given a platform store with homes "kano" for half of the routes
    And an engine "desk-1" of "desk" in "lagos"
    And an engine "desk-2" of "desk" in "kano"
    And an engine "planner-1" of "planner" in "lagos"
    And an engine "planner-2" of "planner" in "kano"
    And routed daemons "a" in "lagos"
    And routed daemons "b" in "kano"
    Then GET "/view/1" through "a" is answered 200 by "desk-1"
    And 12 calls of "/home/1" through "a" are all answered 200 by "desk-2"
    And 12 calls of "/home/1" through "b" are all answered 200 by "desk-2"
    And 6 plans of "/homeplans/1" through "a" are served by "planner-2" only
    And 6 plans of "/homeplans/1" through "b" are served by "planner-2" only
    When homes change to "lagos"
    Then GET "/home/1" through "a" is soon answered 200 by "desk-1"
    And GET "/home/1" through "b" is soon answered 200 by "desk-1"
    And 6 plans of "/homeplans/1" through "b" are served by "planner-1" only
    When homes change to "mars"
    Then GET "/home/1" through "a" is soon answered 503
    And GET "/view/1" through "a" is answered 200 by "desk-1"
    And the log of "a" has 1 line "home regions not known"

  Scenario: A cut-off daemon relays to daemons in the homes only
    Given daemons "b" of "lagos", "m" of "kano" and "x" of "enugu" that a cut-off one in "lagos" may ask
    Then a request with homes "kano" may be relayed to "m"
    And a request with homes "kano, enugu" may be relayed to "m, x"
    And a request with homes "any" may be relayed to "b, m, x"
    And a request with homes "mars" may be relayed to "none"
