Feature: Each request gets the right engine, now or later, or an honest refusal at once

  Scenario: A large account's backlog does not hold back a small account
    Given a planner service with a batch of 2 for accounts "large, small"
    And 1 scheduled engine with memory 4000
    And daemons "a, b" that schedule
    When account "large" sends 24 streams of 60 tokens through "a"
    And account "small" sends 1 stream of 60 tokens through "b"
    Then at most 10 streams of "large" end before the last of "small"

  Scenario: A higher priority goes before a waiting backlog
    Given a planner service with a batch of 2 for accounts "large, urgent:5"
    And 1 scheduled engine with memory 4000
    And daemons "a, b" that schedule
    When account "urgent" sends 2 streams of 60 tokens through "b"
    And account "large" sends 24 streams of 60 tokens through "a"
    And account "urgent" sends 16 streams of 60 tokens through "b"
    Then at most 10 streams of "large" end before the last of "urgent"

  Scenario: A request that would wait too long is refused at once, and may come back as told
    Given a planner service with a batch of 2 and a wait of 2 seconds for accounts "large"
    And 1 scheduled engine with memory 4000
    And daemons "a, b" that schedule
    When account "large" sends 6 streams of 40 tokens through "a"
    And every stream has ended
    And account "large" sends 40 streams of 40 tokens through "a"
    And every stream has ended
    Then some were refused, nearly all in less than half of the wait, with a Retry-After
    And most of those refused are served when they come back as told

  Scenario: A request that waits in vain is refused before the whole wait has passed
    Given a planner service with a batch of 2 and a wait of 6 seconds for accounts "large"
    And 1 scheduled engine with memory 8000
    And daemons "a, b" that schedule
    When account "large" sends 12 streams of 5 tokens through "a"
    And every stream has ended
    And account "large" sends 8 streams of 1900 tokens through "a"
    And every stream has ended
    Then 6 were refused, all but one of them within 0.85 of the wait

  Scenario Outline: Streams that outgrow an engine's memory are preempted, or were not let in
    Given a planner service with policy "<policy>" for accounts "large"
    And 1 scheduled engine with memory 1500
    And daemons "a, b" that schedule
    When account "large" sends 3 streams of 200 tokens through "a"
    And every stream has ended
    And account "large" sends 20 streams of 200 tokens through "a"
    And every stream has ended
    Then the engine preempted <preemptions>

    Examples:
      | policy            | preemptions      |
      | least-outstanding | at least 5 times |
      | predicted         | at most 1 time   |

  Scenario: A new scheduler knows the streams of the one that was killed
    Given a planner service with a batch of 6 for accounts "large"
    And 1 scheduled engine with memory 40000
    And daemons "a, b, c" that schedule
    When account "large" sends 6 streams of 1500 tokens through one that does not schedule
    And the scheduler is killed
    Then another scheduler has 6 streams on its ledger
    When account "large" sends 3 streams of 20 tokens through one that does not schedule
    Then the engine never runs more than 6 at once until those 6 have ended

  Scenario: A prompt goes back to the engine that holds its prefix
    Given a planner service with a batch of 8 for accounts "large"
    And 2 scheduled engines with memory 4000
    And daemons "a, b" that schedule
    When account "large" sends 1 stream of 150 tokens through "a"
    And account "large" streams a long prompt through "a"
    And every stream has ended
    And account "large" streams a long prompt through "b"
    And account "large" streams a long prompt through "a"
    Then one engine ran every long prompt

  Scenario: With prefix affinity off a prompt goes where it would without a prefix
    Given a planner service with prefix affinity off for accounts "large"
    And 2 scheduled engines with memory 4000
    And daemons "a, b" that schedule
    When account "large" sends 1 stream of 150 tokens through "a"
    And account "large" streams a long prompt through "a"
    And every stream has ended
    And account "large" streams a long prompt through "b"
    And account "large" streams a long prompt through "a"
    Then the first of two empty engines ran every later long prompt

  Scenario Outline: Work goes to another failure domain where that saves more than the link costs
    Given a planner service with a batch of 2 and a spill price of <price> seconds for accounts "large"
    And 1 scheduled engine with memory 4000
    And another domain "lagos-island" of the region with engine "planner-far" and daemon "far"
    And daemons "a" that schedule
    When account "large" sends 16 streams of 150 tokens through "a"
    And every stream has ended
    Then all are served, <some> by engine "planner-far"

    Examples:
      | price | some |
      | 0.2   | some |
      | 600   | none |

  Scenario: Forecasts in use let in what forecasts made anew would let in
    When seeded engines of 60000 tokens decide on requests by the forecasts in use
    Then at most 2 in 100 decisions differ from those by forecasts made anew
    And no engine is predicted to pass its budget by more than 2% of its memory

  Scenario Outline: An account's long work does not hold back its short work
    Given lengths learnt by <key> from 200 short and 200 long outputs of one account
    When an engine of 4000 tokens has room for 400 more
    Then a request that begins like the short ones <short> and one like the long ones does not fit

    Examples:
      | key                | short        |
      | account and prompt | fits         |
      | account alone      | does not fit |

  Scenario: The lengths learnt take bounded memory
    When the lengths of outputs are learnt from 10000 templates
    Then at most 4096 templates are remembered, the last one among them

  Scenario Outline: A prompt that has to be computed delays as few streams as it can
    Given engines of 20000 tokens that run these streams of 400 tokens, by "<choice>"
      | engine | streams | holds the prefix | prompt tokens a second |
      | a      | 12      | yes              | 0                      |
      | b      | 3       | no               | 0                      |
      | c      | 1       | no               | 0                      |
    When a request with a prompt of <prompt> tokens and an output of 100 comes
    Then it goes to engine "<engine>"

    Examples:
      | choice      | prompt | engine |
      | least-delay | 80     | c      |
      | least-delay | 70     | a      |
      | emptiest    | 80     | a      |

  Scenario Outline: Long outputs go where few prompts are computed, short ones where few streams run
    Given engines of 20000 tokens that run these streams of 400 tokens, by "<choice>"
      | engine | streams | holds the prefix | prompt tokens a second |
      | a      | 6       | no               | 0                      |
      | b      | 2       | no               | 300                    |
    When a request with a prompt of 100 tokens and an output of <length> comes
    Then it goes to engine "<engine>"

    Examples:
      | choice      | length | engine |
      | least-delay | 200    | a      |
      | least-delay | 4      | b      |
      | emptiest    | 200    | b      |
