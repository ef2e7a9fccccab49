Feature: A call that may not be repeated runs at most once, whatever fails

  Background:
    Given a platform with both teams' settings
    And a plain service "ledger-1" behind a proxy in domain "accra-1"
    And a daemon "a" with the platform behind a proxy in domain "accra-1"
    And daemons "b" in domain "accra-2" of region "accra"

  Scenario Outline: The link to the <link> is cut while <step>
    Given calls are held while <step>
    When refund "r-1" is being posted through "a" and is held while <step>
    And the refund link to the <link> is cut
    And nothing is held any more
    And refund "r-1" is posted through "b"
    And the links are mended
    And refund "r-1" is posted through "a"
    And refund "r-1" is posted through "b"
    Then refund "r-1" ran <runs>
    And every answer to "r-1" is true

    Examples:
      | link     | step                     | runs         |
      | platform | the intent is written    | at most once |
      | platform | the intent is confirmed  | at most once |
      | service  | the call is on its way   | at most once |
      | service  | the answer is awaited    | once         |
      | platform | the outcome is written   | once         |
      | platform | the outcome is confirmed | once         |

  Scenario: A daemon that wakes after its intent has grown old sends nothing and frees the key
    Given calls are held while the intent is confirmed
    When refund "r-1" is being posted through "a" and is held while the intent is confirmed
    And the fault befalls daemon "a": frozen
    And daemon "a" is brought back
    Then the posted refund says 503 "no_backend" and ran "no"
    And refund "r-1" ran 0 time
    When nothing is held any more
    And refund "r-1" is posted through "b"
    Then refund "r-1" ran 1 time

  Scenario: A repeat that waits for a call which is given up unsent runs in its place
    Given the plain service is listed at an address that refuses connections
    And calls are held while the outcome is written
    When refund "r-1" is being posted through "a" and is held while the outcome is written
    And the plain service is listed again
    And refund "r-1" is posted through "b" until it waits for the first
    And nothing is held any more
    Then the posted refund says 503 "no_backend" and ran "no"
    And the repeat succeeds
    And refund "r-1" ran 1 time

  Scenario: An uncertain intent does not block its key for ever
    Given calls are held while the intent is confirmed
    When refund "r-1" is being posted through "a" and is held while the intent is confirmed
    And the refund link to the platform is cut
    Then the posted refund says 503 "platform_down" and ran "no"
    And refund "r-1" ran 0 time
    When nothing is held any more
    And the links are mended
    Then refund "r-1" succeeds through "b" in the end
    And refund "r-1" ran 1 time

  Scenario: The answer to the write of the intent is lost
    Given the key-value service loses 1 answers after 0 writes of records
    When refund "r-1" is posted through "a"
    And refund "r-1" is posted through "b"
    Then every post of "r-1" succeeded
    And refund "r-1" ran 1 time

  Scenario: The answer to the write of the outcome is lost
    Given the key-value service loses 1 answers after 1 writes of records
    When refund "r-1" is posted through "a"
    And refund "r-1" is posted through "b"
    Then every post of "r-1" succeeded
    And refund "r-1" ran 1 time

  Scenario: The same key is sent at once to every daemon of two domains
    Given daemons "c" in domain "accra-1" of region "accra"
    And daemons "d" in domain "accra-2" of region "accra"
    When 20 refunds are each posted at once through "a, b, c, d"
    Then each of the 20 refunds ran 1 time and every post of it succeeded

  Scenario: Two domains write the same buckets under load
    Given daemons "c" in domain "accra-1" of region "accra"
    And daemons "d" in domain "accra-2" of region "accra"
    When 400 refunds are each posted at once through "a, b, c, d"
    Then each of the 400 refunds ran 1 time and every post of it succeeded

  Scenario: A key is sent again long after its outcome has expired
    Given outcomes are kept for 1 seconds
    When refund "r-1" is posted through "a"
    And the outcomes expire
    And refund "r-1" is posted through "b"
    Then the last answer is 409 "outcome_expired" with ran "yes"
    When 80 refunds with long answers are posted through "a"
    And the outcomes expire
    And 80 refunds with long answers are posted through "a"
    Then the records hold tombstones
    When refund "r-1" is posted through "b"
    Then the last answer is 409 "outcome_expired" with ran "yes"
    And refund "r-1" ran 1 time

  Scenario: A key that carries a time older than any record is never run
    When refund "01890000-0000-7000-8000-000000000001" is posted through "a"
    Then the last answer is 409 "key_expired" with ran "unknown"
    And refund "01890000-0000-7000-8000-000000000001" ran 0 time

  Scenario: The daemon that gathers a bucket's writes is frozen
    Given daemons "c" in domain "accra-2" of region "accra"
    When the fault befalls daemon "c": frozen
    And 8 refunds are each posted at once through "b"
    Then each of the 8 refunds ran 1 time and every post of it succeeded
    When daemon "c" is brought back
    And 8 refunds are each posted at once through "c"
    Then each of the 8 refunds ran 1 time and every post of it succeeded

  Scenario: Many keys under random kills, freezes and lost answers
    Given daemons "c" in domain "accra-2" of region "accra"
    When 40 keys are posted again and again for 20 seconds under random faults with seed 7
    Then no key ran twice and every answer was true
