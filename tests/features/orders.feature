Feature: Engines are ordered to load what their deployments say, by one holder at a time

  Background:
    Given a platform with both teams' settings
    And a weight store that allows 2 fetches a second

  Scenario: A new version is rolled out without cutting streams or exceeding the weight store's rate
    Given 3 engines "planner" that check fencing numbers
    And daemons "a, b" in domain "lagos-1" of region "lagos"
    When the deployment wants version "1" with fencing "yes"
    Then every engine "planner" has loaded version "1"
    When account "organisers" starts streaming "plan [len=600]" from "planner" through "a"
    And the deployment wants version "2" with fencing "yes"
    Then the answer has 600 tokens of one generation in order
    And every engine "planner" has loaded version "2"
    And no stream was cut by an order
    And the weight store was asked 6 times and its rate was never exceeded

  Scenario: Weights that are there already are not loaded again after a restart of every daemon
    Given 2 engines "planner" that check fencing numbers
    And daemons "a, b" in domain "lagos-1" of region "lagos"
    When the deployment wants version "1" with fencing "yes"
    Then every engine "planner" has loaded version "1"
    When the daemons "a, b" are killed and "c, d" take their place
    Then one of "c, d" holds the orders lease
    And every engine "planner" was ordered 1 time

  Scenario: A holder that is asked to stop hands the duty on while its stream goes on
    Given 2 engines "planner" that check fencing numbers
    And daemons "a, b, c" in domain "lagos-1" of region "lagos"
    When the holder of the orders lease relays a plan of 3000 tokens and is asked to stop
    Then another daemon holds the orders lease
    And the plan has not ended yet
    And the answer has 3000 tokens of one generation in order

  Scenario Outline: A holder paused past its lease does no harm when it wakes
    Given 2 engines "planner" that <kind> fencing numbers
    And daemons "a, b, c" in domain "lagos-1" of region "lagos"
    When the deployment wants version "1" with fencing "<fencing>"
    Then every engine "planner" has loaded version "1"
    When the holder of the orders lease is frozen
    And the deployment wants version "2" with fencing "<fencing>"
    Then another daemon holds the orders lease
    And every engine "planner" has loaded version "2"
    When the frozen daemon goes on
    Then the fencing numbers of each engine "planner" never went down
    And every engine "planner" has loaded version "2"

    Examples:
      | kind   | fencing |
      | check  | yes     |
      | ignore | no      |

  Scenario Outline: An order that arrives after its holder lost the lease is refused or put right
    Given 1 engines "planner" that <kind> fencing numbers behind a proxy
    And daemons "a, b, c" in domain "lagos-1" of region "lagos"
    When the deployment wants version "1" with fencing "<fencing>"
    Then every engine "planner" has loaded version "1"
    When the next order, of version "2" with fencing "<fencing>", is held on its way
    And the holder of the orders lease is frozen
    Then another daemon holds the orders lease
    When the deployment wants version "3" with fencing "<fencing>"
    And the way to the engine is free again
    Then every engine "planner" has loaded version "3"
    When the frozen daemon goes on
    Then every engine "planner" has loaded version "3"

    Examples:
      | kind   | fencing |
      | check  | yes     |
      | ignore | no      |

  Scenario Outline: A domain's reader of engines that <ends> is replaced
    Given daemons "a" in domain "lagos-1" of region "lagos"
    And one of "a" holds the orders lease
    And 2 fenced engines "planner" in domain "kano-1" of region "kano"
    And daemons "m, n" in domain "kano-1" of region "kano"
    When the deployment wants version "1" with fencing "yes"
    Then every engine "planner" has loaded version "1"
    When the daemon of "m, n" that reads engines is <done>
    Then the other one of "m, n" reads engines
    When the deployment wants version "2" with fencing "yes"
    Then every engine "planner" has loaded version "2"
    And one of "a" holds the orders lease

    Examples:
      | ends    | done   |
      | dies    | killed |
      | freezes | frozen |

  Scenario: A domain cut off from the holder is left alone, the others go on, and it catches up
    Given 1 fenced engines "planner" in domain "kano-1" of region "kano"
    And 1 fenced engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "a, b" in domain "lagos-1" of region "lagos" behind proxies
    And one of "a, b" holds the orders lease
    And daemons "m, n" in domain "kano-1" of region "kano" behind proxies
    And the domains "lagos-1" and "kano-1" see each other
    When the deployment wants version "1" with fencing "yes"
    Then every engine "planner" has loaded version "1"
    When the domains are cut from each other
    Then the domains "lagos-1" and "kano-1" no longer see each other
    When the deployment wants version "2" with fencing "yes"
    Then domain "lagos-1" has version "2" on every engine "planner"
    And domain "kano-1" has version "1" on every engine "planner"
    When the domains are given back to each other
    Then every engine "planner" has loaded version "2"
    And one of "a, b" holds the orders lease

  Scenario: Nothing is ordered on news of an engine that has changed since
    Given 1 engines "planner" that check fencing numbers
    And stale readers of engines "a" in domain "lagos-1" of region "lagos"
    When the deployment wants version "1" with fencing "yes"
    Then every engine "planner" has loaded version "1"
    And the holder has asked every engine "planner" 10 times more
    And every engine "planner" was ordered 1 time
