Feature: A repeated request joins the generation that runs, and an abandoned one is cancelled

  Background:
    Given a platform with both teams' settings
    And service "planner" of team "sound-trust" has "kind = model, resume_window = 3"
    And 2 engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "a, b" in domain "lagos-1" of region "lagos"

  Scenario: The same key joins at the same daemon and at another
    When key "k1" of "organisers" begins streaming "plan [len=600]" from "planner" through "a"
    And 20 tokens have come
    Then "plan [len=600]" with key "k1" through "a" gives the same 600 tokens
    When key "k2" of "organisers" begins streaming "plan [len=600]" from "planner" through "a"
    And 20 tokens have come
    Then "plan [len=600]" with key "k2" through "b" gives the same 600 tokens
    And the engines started 2 generations

  Scenario: The same key joins while the first request still waits for its first token
    Given every engine holds its first token back for 2 seconds
    When key "k1" of "organisers" begins streaming "plan [len=200]" from "planner" through "a"
    Then "plan [len=200]" with key "k1" through "b" gives the same 200 tokens
    And the engines started 1 generation

  Scenario: A key with another body is refused
    When key "k1" of "organisers" begins streaming "plan [len=600]" from "planner" through "a"
    And 20 tokens have come
    Then "another [len=9]" with key "k1" through "a" is refused with status 422
    And "another [len=9]" with key "k1" through "b" is refused with status 422
    And the answer has 600 tokens of one generation in order

  Scenario: The daemon that began is killed and the key finds the generation
    When key "k1" of "organisers" begins streaming "plan [len=900]" from "planner" through "a"
    And 20 tokens have come
    And daemon "a" is killed
    Then "plan [len=900]" with key "k1" through "b" gives the same 900 tokens
    And the engines started 1 generation

  Scenario: A caller who has gone is waited for, and then the engine's memory comes back
    When account "organisers" starts streaming "plan [len=9000]" from "planner" through "a"
    And the caller goes away
    Then the engines run 1 generation for 1 second
    And within 10 seconds the engines run 0 generations

  Scenario: A stream that somebody else reads is not cancelled
    When account "organisers" starts streaming "plan [len=1500]" from "planner" through "a"
    And the caller goes away
    And the caller resumes through "b"
    Then the parts make 1500 tokens of one generation in order

  Scenario: The streams of a dead entry daemon are cancelled
    When account "organisers" starts streaming "plan [len=9000]" from "planner" through the daemon that does not schedule
    And that daemon is killed
    Then within 15 seconds the engines run 0 generations

  Scenario: An answer that is not streamed is cancelled when its caller has gone
    When a caller asks for "plan [len=9000]" from "planner" through "a" without streaming and goes
    Then within 10 seconds the engines run 0 generations

  Scenario: The same key joins in another failure domain
    Given 2 engines "planner" in domain "kano-1" of region "kano"
    And daemons "m, n" in domain "kano-1" of region "kano"
    And the domains "lagos-1" and "kano-1" see each other
    And the daemons agree on who schedules
    When key "k1" of "organisers" begins streaming "plan [len=600]" from "planner" through "a"
    And 20 tokens have come
    Then "plan [len=600]" with key "k1" through "m" gives the same 600 tokens
    And the engines started 1 generation
    When key "k2" of "organisers" begins streaming "plan [len=600]" from "planner" through "n"
    And 20 tokens have come
    Then "another [len=9]" with key "k2" through "b" is refused with status 422
    And "plan [len=600]" with key "k2" through "b" gives the same 600 tokens
    And the engines started 2 generations

  Scenario: The same key begins in two failure domains at once
    Given 2 engines "planner" in domain "kano-1" of region "kano"
    And daemons "m, n" in domain "kano-1" of region "kano"
    And the domains "lagos-1" and "kano-1" see each other
    And the daemons agree on who schedules
    Then 6 keys that begin through each of "a, m, b, n" at once have one generation each

  # Guards against "not run" for a request that was sent again with its key, and joined one that an
  # engine may have begun, when a planned stop ends both.
  Scenario: Who joins a generation that may have run is not told that it has not
    Given a relay of a generation whose start request has been sent
    When a second caller joins it, and a planned stop ends both before its first token
    Then both are answered 504 with ran "unknown"
