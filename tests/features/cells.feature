Feature: The engines of a large service are scheduled in cells, by several daemons

  Scenario: Load is spread over the cells, and each engine keeps to its memory
    Given a planner service with cells of 2 engines and a batch of 8 for accounts "large"
    And 6 scheduled engines with memory 8000
    And daemons "a, b, c" that schedule
    When account "large" sends 18 streams of 1200 tokens through each daemon in turn
    Then the streams of each engine are on the ledger of one daemon, in 3 cells
    And at least 5 engines run streams, none more than 8 and none over its memory
    And every stream is on one ledger, and comes to its end

  Scenario: The same key joins through another daemon, whatever its cell
    Given a planner service with cells of 1 engine and a batch of 8 for accounts "large"
    And 4 scheduled engines with memory 16000
    And daemons "a, b, c" that schedule
    When account "large" sends 8 keyed streams of 900 tokens through "a"
    And account "large" sends the same keyed streams through "b"
    Then the keyed streams come in pairs from 8 generations

  Scenario: The streams of a cell whose scheduler is killed are taken up by another daemon
    Given a planner service with cells of 2 engines and a batch of 8 for accounts "large"
    And 4 scheduled engines with memory 16000
    And daemons "a, b, c" that schedule
    When account "large" sends 12 streams of 1900 tokens past the scheduler of cell 1
    And the scheduler of cell 1 is killed
    Then the next one schedules cell 1 and has its streams on its ledger
    And every stream is on one ledger, and comes to its end

  Scenario: A request whose own cell is full is placed in another one
    Given a planner service with cells of 1 engine and a batch of 2 for accounts "large"
    And 2 scheduled engines with memory 16000
    And daemons "a, b" that schedule
    When account "large" sends 4 long prompts for 1200 tokens through each daemon in turn
    Then the engines come to run 4 streams at once

  Scenario: The number of cells changes while streams run
    Given a planner service with cells of 4 engines and a batch of 8 for accounts "large"
    And 4 scheduled engines with memory 16000
    And daemons "a, b, c" that schedule
    When account "large" sends 12 streams of 1900 tokens through each daemon in turn
    And the cells of the planner are set to 1 engine
    Then the streams of each engine are on the ledger of one daemon, in 4 cells
    And every stream is on one ledger, and comes to its end

  Scenario: Reports to many schedulers come less often, and their ledgers stay right
    Given a planner service with cells of 1 engine and a batch of 8 for accounts "large"
    And 2 scheduled engines with memory 16000
    And daemons "a, b, c" that schedule
    When account "large" sends 8 streams of 1900 tokens past the schedulers
    Then the daemon past them reports to 2 cells, to each at most once in 1.8 seconds, for 12 seconds

  Scenario: A request that comes back as told comes to the cell that told it
    When 200 requests with short prompts come again under other ids
    Then each prefers the cells in the order it did, and not all prefer the same

  Scenario: Requests are spread by the memory of the cells, and few engines move between them
    When 4000 requests are spread over cells of 1000, 2000 and 5000 tokens
    Then each cell is first for its part of them, to within 15 in 100
    And of 400 engines at most 1 in 4 move when 4 cells become 5
