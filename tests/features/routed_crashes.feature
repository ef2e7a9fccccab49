Feature: A request that crashes its servers is stopped on the routed path; its neighbours are served

  # Guards against such a request being sent to server after server (incident BUDGET).
  Scenario Outline: Three servers end under it at most, and no daemon sends it on afterwards
    Given a platform store with document 5 and resumable plans
    And 7 engines of "<service>" in "lagos"
    And routed daemons "a, b" in "lagos"
    When <kind> "<mark>" is sent 9 times in turn through "a, b"
    Then 3 engines at most have ended
    And the last 4 answers are 503 "quarantined" with ran "no" and Retry-After
    And another <kind> is served through "b"

    Examples:
      | kind            | service | mark      |
      | repeatable call | desk    | [crash=0] |
      | call            | desk    | [crash=0] |
      | plan            | planner | [crash=0] |
      | plan            | planner | [crash=3] |
      | resumable plan  | planner | [crash=3] |

  # Guards against a run that is carried from engine to engine by its copies, and crashes each.
  Scenario: A plan that crashes late, and has copies, takes down three engines at most
    Given a platform store with document 5
    And 7 engines of "planner" in "lagos"
    And routed daemons "a, b" in "lagos"
    When long plan "[crash=450]" is sent 4 times in turn through "a, b"
    Then 3 engines at most have ended
    And one attempt went on from a copy
    And the last 1 answers are 503 "quarantined" with ran "no" and Retry-After
    And another plan is served through "b"

  # Guards against a server's end that goes uncounted because it falls silent rather than closes.
  Scenario Outline: It counts as well where its servers fall silent
    Given a platform store with document 5 and resumable plans
    And 14 engines of "<service>" in "lagos"
    And routed daemons "a, b" in "lagos"
    When <kind> "[hang=0]" of a caller with 1500 ms is sent through "a, b" until it is quarantined, 24 times at most
    Then 3 engines at most have ended later than 4 s after the third
    And the last 1 answers are 503 "quarantined" with ran "no" and Retry-After

    Examples:
      | kind            | service |
      | call            | desk    |
      | repeatable call | desk    |
      | plan            | planner |

  # Guards against each failure domain counting for itself alone.
  Scenario: Failure domains hear of each other's deaths
    Given a platform store with document 5
    And 4 engines of "desk" in "lagos"
    And 4 engines of "desk" in "kano"
    And routed daemons "a, b" in "lagos"
    And routed daemons "m, n" in "kano"
    When call "[crash=0]" is sent 12 times in turn through "a, m, b, n"
    Then 3 engines at most have ended
    And the last 4 answers are 503 "quarantined" with ran "no" and Retry-After

  # Guards against deaths that only the daemons' memory knows of.
  Scenario: Daemons that are all killed still know it when they have started again
    Given a platform store with document 5
    And 6 engines of "desk" in "lagos"
    And routed daemons "a, b" in "lagos"
    When call "[crash=0]" is sent 5 times in turn through "a, b"
    Then 3 engines at most have ended
    When routed daemons "a, b" are all killed, and started again
    And call "[crash=0]" is sent 4 times in turn through "a, b"
    Then 3 engines at most have ended
    And the last 4 answers are 503 "quarantined" with ran "no" and Retry-After

  # Guards against a domain whose links to the others are cut not hearing of it at all.
  Scenario: Failure domains that are cut from each other hear of it through the store
    Given a platform store with document 5
    And 4 engines of "desk" in "lagos"
    And 4 engines of "desk" in "kano"
    And a routed daemon "a" in "lagos"
    And a routed daemon "m" in "kano" that shares no mesh key with the others
    When call "[crash=0]" is sent 5 times in turn through "a"
    Then 3 engines at most have ended
    When 4 s have passed
    And call "[crash=0]" is sent 5 times in turn through "m"
    Then 3 engines at most have ended
    And the last 5 answers are 503 "quarantined" with ran "no" and Retry-After

  # Guards against several such requests hiding one another, or taking their neighbours with them.
  Scenario Outline: Several at once are told from the requests beside them
    Given a platform store with document 5
    And 10 engines of "<service>" in "lagos"
    And routed daemons "a, b" in "lagos"
    When 6 neighbours, each a <kind>, run all the while through "a, b"
    And <kind> "[crash=0] one" and "[crash=0] two" are each sent 8 times in turn through "a, b"
    Then 6 engines at most have ended
    And the last answers to each are 503 "quarantined"
    And every neighbour is served in the end, and none was ever refused as "quarantined"

    Examples:
      | kind | service |
      | call | desk    |
      | plan | planner |

  # Guards against refusing a request that did no harm.
  Scenario Outline: A request that is there when servers end for another reason is served
    Given a platform store with document 5
    And 5 engines of "<service>" in "lagos"
    And routed daemons "a, b" in "lagos"
    When 2 engines are killed one after another while the same <kind> runs there
    Then the same <kind> is served
    When 2 engines are killed one after another while the same <kind> runs there
    Then the same <kind> is served

    Examples:
      | kind | service |
      | call | desk    |
      | plan | planner |
