Feature: Every token reaches the caller once, in order, from a single generation

  Background:
    Given a platform with both teams' settings

  Scenario: Entry daemons are killed mid-stream and the caller goes on elsewhere
    Given 1 engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "a, b" in domain "lagos-1" of region "lagos"
    And daemons "c" in domain "kano-1" of region "kano"
    When account "organisers" starts streaming "plan [len=900]" from "planner" through "a"
    And daemon "a" is killed
    And the caller resumes through "b"
    And daemon "b" is killed
    And the caller resumes with a plain GET through "c"
    Then the parts make 900 tokens of one generation in order

  Scenario: A stream that has ended can be read again from any place, and not beyond its end
    Given 1 engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "a, b" in domain "lagos-1" of region "lagos"
    When account "organisers" streams "plan [len=90]" from "planner" through "a"
    Then the caller reads 50 to 90 again through "b"
    And the caller reads 0 to 90 again through "b"
    And the caller reads 90 to 90 again through "b"
    And the caller is refused offset 91 through "b" with status 400 and reason "bad_cursor"
    And a cursor of "organisers" is refused to "depots" through "b" with status 403

  Scenario Outline: The engine's link is <fault>
    Given an engine "planner-1" behind proxy "link" in domain "lagos-1" of region "lagos"
    And daemons "a" in domain "lagos-1" of region "lagos"
    When account "organisers" starts streaming "plan [len=700]" from "planner" through "a"
    And stand-in "link" is set to <switches>
    And 0.5 seconds pass
    And stand-in "link" is set to {"mode": "pass"}
    Then the answer has 700 tokens of one generation in order
    And the engines started 1 generation

    Examples:
      | fault          | switches               |
      | cut            | {"mode": "cut"}        |
      | stalled        | {"mode": "stall"}      |
      | stalled back   | {"mode": "stall-back"} |
      | closed midway  | {"close_after": 9000}  |
      | delayed        | {"delay": 0.3}         |

  Scenario: The caller who asked first goes while the engine's answer is held back
    Given an engine "planner-1" behind proxy "link" in domain "lagos-1" of region "lagos"
    And daemons "a" in domain "lagos-1" of region "lagos"
    And stand-in "link" is set to {"mode": "stall-back"}
    When key "k1" of "organisers" begins streaming "plan [len=50]" from "planner" through "a"
    And the key "k1" asks again through "a", and the first caller goes away
    Then within 5 seconds the answer ends in an error "not_placed" that says ran "unknown"

  Scenario: The engine's link stays stalled past the time-out
    Given an engine "planner-1" behind proxy "link" in domain "lagos-1" of region "lagos"
    And daemons "a" in domain "lagos-1" of region "lagos"
    When account "organisers" starts streaming "plan [len=700]" from "planner" through "a"
    And stand-in "link" is set to {"mode": "stall"}
    And 7 seconds pass
    And stand-in "link" is set to {"mode": "pass"}
    Then the answer has 700 tokens of one generation in order
    And the engines started 1 generation

  Scenario Outline: The engine sends <what>
    Given 1 engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "a" in domain "lagos-1" of region "lagos"
    And stand-in "planner-lagos-1-0" is set to <switches>
    When account "organisers" streams "plan [len=300]" from "planner" through "a"
    Then the answer has 300 tokens of one generation in order
    And the engines started 1 generation

    Examples:
      | what                       | switches                       |
      | duplicates                 | {"duplicate_every": 3}         |
      | a gap                      | {"skip_at": 150}               |
      | another stream's event     | {"foreign_at": 150}            |
      | an end of the connection   | {"close_at": 150}              |

  Scenario: Faults in the middle of one piece of the stream lose nothing before them
    Given 1 engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "a, b" in domain "lagos-1" of region "lagos"
    When account "organisers" streams "plan [len=300]" from "planner" through "a"
    And stand-in "planner-lagos-1-0" is set to {"skip_at": 150}
    Then the caller reads 0 to 300 again through "b"
    When stand-in "planner-lagos-1-0" is set to {"foreign_at": 200}
    Then the caller reads 0 to 300 again through "b"

  Scenario: An engine restarted under the same address is never spliced on
    Given 1 engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "a" in domain "lagos-1" of region "lagos"
    When account "organisers" starts streaming "plan [len=2000]" from "planner" through "a"
    And daemon "a" is frozen while engine "planner-lagos-1-0" restarts with the same stream
    Then the answer ends in an error "engine_lost" that says ran "unknown"
    And what came is the beginning of one generation

  Scenario: An engine that dies after the first token ends the answer at once
    Given 2 engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "a" in domain "lagos-1" of region "lagos"
    When account "organisers" starts streaming "plan [len=2000]" from "planner" through "a"
    And the engine at work is killed
    Then within 1 seconds the answer ends in an error "engine_lost" that says ran "unknown"
    And what came is the beginning of one generation

  Scenario: An engine that dies before the first token is replaced by another
    Given 2 engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "a" in domain "lagos-1" of region "lagos"
    And every engine holds its first token back for 3 seconds
    When account "organisers" begins streaming "plan [len=100]" from "planner" through "a"
    And the engine at work is killed
    Then the answer has 100 tokens of one generation in order

  Scenario: A generation given up before its first token is cancelled and its late tokens ignored
    Given an engine "planner-1" behind proxy "link" in domain "lagos-1" of region "lagos"
    And an engine "planner-2" behind proxy "link2" in domain "lagos-1" of region "lagos"
    And daemons "a" in domain "lagos-1" of region "lagos"
    And every engine holds its first token back for 4 seconds
    When account "organisers" begins streaming "plan [len=4000]" from "planner" through "a"
    And the link of the engine at work is cut
    And 20 tokens have come
    Then 2 engines run a generation
    When that link is whole again
    Then that engine comes to run 0 generations
    And the answer has 4000 tokens of one generation in order

  Scenario: A retry needs a budget, and a refusal says truthfully that nothing ran
    Given service "planner" of team "sound-trust" has "kind = model, retry_share = 0"
    And 3 engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "a" in domain "lagos-1" of region "lagos"
    And every engine is set to {"refuse": true}
    When account "organisers" asks 7 times for "plan" from "planner" through "a"
    Then every answer has status 503, a Retry-After and ran "no"
    And the last answer's reason is "retries_exhausted"
    And the engines started 0 generations

  Scenario: Without a budget every retry is made
    Given service "planner" of team "sound-trust" has "kind = model, retry_share = 0, retry_budget = unlimited"
    And 3 engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "a" in domain "lagos-1" of region "lagos"
    And every engine is set to {"refuse": true}
    When account "organisers" asks 7 times for "plan" from "planner" through "a"
    Then every answer has status 503, a Retry-After and ran "no"
    And the last answer's reason is "engine_lost"
    And the engines started 0 generations

  Scenario: A request that may have run is not reported as not run
    Given 2 engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "a" in domain "lagos-1" of region "lagos"
    When account "organisers" asks 1 times for "plan [crash=0]" from "planner" through "a"
    Then every answer has status 422, a Retry-After and ran "unknown"

  # Guards against "not run" for a generation that its engine began and then failed.
  Scenario Outline: A start that an engine answers with <status> has run "<ran>"
    When an engine answers the start of a generation with <status>
    Then the generation has run "<ran>"

    Examples:
      | status | ran     |
      | 429    | no      |
      | 503    | no      |
      | 400    | no      |
      | 500    | unknown |
      | 502    | unknown |
      | 504    | unknown |
      | 302    | unknown |

  Scenario Outline: A stream that waits <seconds> s in its engine's own queue is started once
    Given an engine "planner-1" that runs one stream at a time in domain "lagos-1" of region "lagos"
    And daemons "a" in domain "lagos-1" of region "lagos"
    And a stream from elsewhere keeps engine "planner-1" for <seconds> seconds
    When account "organisers" begins streaming "plan [len=50]" from "planner" through "a"
    And <wait> seconds pass
    Then no token has come yet
    And the answer has 50 tokens of one generation in order
    And the engines started 2 generations

    Examples:
      | seconds | wait |
      | 8       | 6    |
      | 14      | 12   |
