Feature: Streams go to engines whose pace keeps the targets of their routes

  # Engines of one service differed threefold in pace, and each paused while it prefilled a prompt:
  # the slow ones for 5 to 10 ms longer than a stream may pause, which made every stream there late.
  Background:
    Given these engines
      | engine | seconds a token | more with each stream | pause while it prefills | streams |
      | fast   | 0.016           | 0.001                 | 0.02                    | 6       |
      | slow   | 0.045           | 0.002                 | 0.14                    | 0       |

  Scenario Outline: A route's target counts only where the daemon's file says so
    When the file of a daemon <says> to place by pace
    Then streams of a route with a target of 0.18 s between events are placed by <target> s

    Examples:
      | says         | target |
      | says         | 0.18   |
      | does not say | 0      |

  Scenario Outline: A pace is learnt from a few reports, some of them odd
    When each has run <sizes> streams, and 1 report in 6 is odd
    Then the pace of "<engine>" with <batch> streams counts as <seconds> s a token within 15 in 100

    Examples:
      | sizes   | engine | batch | seconds |
      | 1, 2, 4 | slow   | 1     | 0.047   |
      | 1, 2, 4 | slow   | 10    | 0.065   |
      | 1, 2, 4 | fast   | 4     | 0.020   |
      | 4       | slow   | 4     | 0.053   |

  Scenario: A new engine counts as the median until it is known, an old one is forgotten
    When each has run 1, 2, 4 streams, and 1 report in 6 is odd
    Then the pace of "new" with 4 streams counts as 0.0365 s a token within 15 in 100
    When "slow" has restarted under another name
    Then the pace of "slow" with 4 streams counts as 0.020 s a token within 15 in 100

  Scenario Outline: A stream goes where all keep their targets, if there is such an engine
    When each has run 1, 2, 4 streams, and 1 report in 6 is odd
    And a stream comes whose events of 1 token may be <gap> s apart
    Then the stream goes to "<engine>"

    Examples: The second is as without paces, which is the emptiest engine; 0 is no target
      | gap  | engine |
      | 0.18 | fast   |
      | 0.40 | slow   |
      | 0    | slow   |

  Scenario: As long as no pace is known, streams go where they would without paces
    When a stream comes whose events of 1 token may be 0.18 s apart
    Then the stream goes to "slow"

  Scenario: The targets of the streams that run on an engine count as well
    Given a stream on "slow" whose events of 1 token may be 0.18 s apart
    When each has run 1, 2, 4 streams, and 1 report in 6 is odd
    And a stream comes whose events of 1 token may be 0 s apart
    Then the stream goes to "fast"

  Scenario: Where no engine keeps the target a stream goes to the least late
    When each has run 1, 2, 4 streams, and 1 report in 6 is odd
    And a stream comes whose events of 1 token may be 0.01 s apart
    Then the stream goes to "fast"

  Scenario: No stream waits for pace alone
    Given "fast" is full
    When each has run 1, 2, 4 streams, and 1 report in 6 is odd
    And a stream comes whose events of 1 token may be 0.01 s apart
    Then the stream goes to "slow"

  Scenario: A scheduler learns paces and pauses from reports of progress
    Given a scheduler with engines "one" of 30000 tokens
    When a run there reports 20 tokens a second for 5 s, gaps of 0.15 s for prompts
    Then its engine is taken for one of 0.05 s a token that pauses for 0.1 s

  Scenario: Gaps that are hardly longer than usual are no pauses
    Given a scheduler with engines "one" of 30000 tokens
    When a run there reports 20 tokens a second for 5 s, gaps of 0.07 s for prompts
    Then its engine is taken for one of 0.05 s a token that pauses for 0 s

  Scenario Outline: An engine that is expected just below the target doesn't count as in time
    Given a scheduler with engines "one" of 30000 tokens
    When a run there reports 20 tokens a second for 5 s, gaps of <gap> s for prompts
    Then a request for a place in time there is <answer>, and one for any place is granted

    Examples:
      | gap  | answer   |
      | 0.17 | too_slow |
      | 0.15 | granted  |

  Scenario: Reports carry the longest gaps, and only where a stream has one
    Then a report of gaps of 0.15, 0 and 0.02 s is read as it was sent
    And a report without gaps is sent as before

  Scenario Outline: A scheduler that is asked for a place in time gives none where targets are missed
    Given a scheduler with engines "one" of 30000 tokens
    When a run there reports <rate> tokens a second for 5 s, gaps of <gap> s for prompts
    Then a request for a place in time there is <answer>, and one for any place is granted
    And the load told to other domains has <step> s a token

    Examples:
      | rate | gap  | answer   | step |
      | 20   | 0.19 | too_slow | 0.05 |
      | 50   | 0.05 | granted  | 0.02 |

  # With one engine in a domain, its scheduler had no other to choose: 15 of 19 streams stayed late.
  Scenario Outline: Domains are asked whose engines keep the target, those of this region first
    Given these domains
      | domain | region | wait | step | pause |
      | near   | lagos  | 0    | 0.02 | 0.10  |
      | slow   | lagos  | 0    | 0.05 | 0.14  |
      | full   | lagos  | 1    | 0.02 | 0.02  |
      | new    | lagos  | 0    | 0    | 0     |
      | far    | kano   | 0    | 0.02 | 0.02  |
    Then a request with a gap of <gap> s asks for places in time in "<domains>"

    Examples:
      | gap  | domains          |
      | 0.18 | near, far        |
      | 0.25 | near, slow, far  |
      | 0    | none             |

  Scenario Outline: A stream goes to another domain only if no engine here keeps the target
    Given another domain that has a place in time <elsewhere>
    When this domain answers "<here>" to a request for a place in time
    Then the stream is <placed>

    Examples:
      | elsewhere | here       | placed              |
      | yes       | granted    | placed here         |
      | yes       | too_slow   | placed there        |
      | yes       | overloaded | to get any place    |
      | no        | too_slow   | to get any place    |

  Scenario Outline: Among the domains that long runs may go to, those with a place in time come first
    Given another domain that has a place in time <elsewhere>
    When a long run is placed in one of "near, there"
    Then "<asked>" are asked

    Examples:
      | elsewhere | asked                       |
      | yes       | there in time               |
      | no        | there in time, near, there  |
