Feature: Daemons divide a server's limit among them, without a network

  Scenario Outline: <domains> domains of <daemons> daemons use a limit of <limit> a second, and keep to it
    Given <domains> simulated domains of <daemons> daemons with <demand> callers a second each
    When the server limits them to <limit> requests a second for 30 s
    Then it never got more than its limit allows
    And it got at least <part> of its limit

    Examples:
      | domains | daemons | demand | limit | part |
      | 1       | 2       | 10     | 2     | 0.8  |
      | 3       | 2       | 4      | 2     | 0.8  |
      | 3       | 2       | 4      | 0.3   | 0.8  |
      | 3       | 3       | 20     | 20    | 0.8  |
      | 6       | 14      | 2      | 50    | 0.8  |
      | 8       | 6       | 2      | 0.2   | 0.8  |
      | 6       | 32      | 0.4    | 2     | 0.8  |

  Scenario Outline: Limits hold while daemons are restarted, cut off and heard again (seed <seed>)
    Given 3 simulated domains of 3 daemons with 5 callers a second each, seed <seed>
    When the server limits them to <limit> requests a second for 5 s
    And daemons are restarted, cut off and heard again 20 times at random
    Then it never got more than its limit allows
    And it got at least 0.2 of its limit

    Examples:
      | seed | limit |
      | 1    | 2     |
      | 2    | 8     |
      | 3    | 1     |
      | 4    | 2     |
      | 5    | 30    |
      | 6    | 4     |

  Scenario Outline: Limits hold when some requests save runs (seed <seed>)
    Given 3 simulated domains of 3 daemons with 5 callers a second each, seed <seed>
    And a third of the requests save runs
    When the server limits them to <limit> requests a second for 20 s
    And daemons are restarted, cut off and heard again 10 times at random
    Then it never got more than its limit allows

    Examples:
      | seed | limit |
      | 11   | 1     |
      | 12   | 2     |
      | 13   | 10    |

  Scenario: A domain that hears no other keeps to its part
    Given 3 simulated domains of 2 daemons with 5 callers a second each
    When the server limits them to 2 requests a second for 10 s
    And domain "d2" hears no other
    And 30 s pass for the simulated daemons
    Then it never got more than its limit allows
    And it got at least 0.8 of its limit

  Scenario: A limit of 0 lets through what tells when it is lifted
    Given 3 simulated domains of 2 daemons with 5 callers a second each
    When the server limits them to 0 requests a second for 60 s
    Then it never got more than its limit allows
    When the server names no limit for 20 s
    Then no daemon knows of a limit

  Scenario: Daemons that each take the limit for their own are found out by the check
    Given 3 simulated domains of 2 daemons with 5 callers a second each
    And no daemon counts the others
    When the server limits them to 2 requests a second for 10 s
    And domain "d2" hears no other
    And domain "d1" hears no other
    And 30 s pass for the simulated daemons
    Then it got more than its limit allows

  Scenario: A daemon that hears of a limit before it lists the server heeds it
    Given 1 simulated domains of 3 daemons with 5 callers a second each
    When the server limits them to 2 requests a second for 5 s
    And the holder of the shares starts again and does not list the server
    And the others tell it what they know
    And it looks at its list of servers, which is empty
    Then it knows the limit

  Scenario: A holder of shares that does not list the server yet permits nothing
    Given 1 simulated domains of 3 daemons with 5 callers a second each
    When the server limits them to 2 requests a second for 5 s
    And the holder of the shares starts again and does not list the server
    Then a daemon that asks it is not permitted to send

  Scenario: What was saved up at a high limit does not exceed a limit that falls
    Given a pool that holds all shares of a limit of 4.6 a second and has saved up what it may
    Then after the limit falls to 0.69 its requests stay within what both limits allow in 4 s

  Scenario: Each refused caller is told another turn, and none that it cannot wait for
    Given a pool that holds all shares of a limit of 2 a second and has none left
    Then 3 callers are told to return after 0.5, 1.0 and 1.5 s
    And after 1.6 s one more caller is told to return after less than 0.5 s

  Scenario: A request that saves a run is sent in advance, within bounds
    Given a pool that holds all shares of a limit of 2 a second and has none left
    Then 2 requests that save runs are granted, and the next is told to return after 1.5 s

  Scenario: An answer lifts only a limit that was named before its request was sent
    Given a server that named a limit 1 s ago
    When an answer without a limit comes, to a request sent 2 s ago
    Then its limit is known
    When an answer without a limit comes that may belong to another request
    Then its limit is known
    When a peer reports a lifted limit that is 2 s old
    Then its limit is known
    When an answer without a limit comes, to a request sent 0.5 s ago
    Then no limit is known
    When a peer reports the old limit, 1 s old
    Then no limit is known
