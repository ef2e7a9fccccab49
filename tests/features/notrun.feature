Feature: What a failed plain call says of whether it ran is true

  Background:
    Given a platform with both teams' settings
    And a plain service "ledger-1" behind a proxy in domain "accra-1"
    And daemons "a" in domain "accra-1" of region "accra"

  Scenario: Without a key
    When refund "" is posted through "a"
    Then the last answer is 400 "key_needed" with ran "no"
    And nothing ran

  Scenario: With a key used for another body
    When refund "r-1" is posted through "a"
    And refund "r-1" is posted through "a" with another body
    Then the last answer is 422 "key_reused" with ran "no"
    And refund "r-1" ran 1 time

  Scenario: With a key whose time is still to come
    When refund "0fff0000-0000-7000-8000-000000000001" is posted through "a"
    Then the last answer is 400 "key_in_future" with ran "no"
    And nothing ran

  Scenario: With an owner that does not know the service yet
    Given daemon "b" in domain "accra-1" reaches the key-value service through a proxy
    When the plain service is deleted, and set again while "b" cannot read it
    And 16 refunds are posted at once through "a"
    Then every one of them succeeds

  Scenario Outline: With an owner that says "<reason>", since it does not know the <kind> yet
    Given daemon "b" in domain "accra-1" reaches the key-value service through a proxy
    When refunds are posted through "a" after the <kind> is set anew till "b" says "<reason>"
    Then every one of them succeeds
    And "a" was told "<reason>" by "b"

    Examples:
      | kind       | reason        |
      | service    | unknown_model |
      | deployment | no_backend    |

  Scenario: With an owner that alone cannot reach the key-value service
    Given daemon "b" in domain "accra-1" reaches the key-value service through a proxy
    When "b" is cut off from the key-value service
    And 16 refunds are posted at once through "a"
    Then every one of them succeeds
    And "a" was told "platform_down" by "b"

  Scenario: While the key-value service is down
    Given the key-value service is down
    When refund "r-1" is posted through "a"
    Then the last answer is 503 "platform_down" with ran "no"
    And the last answer says when to ask again
    And nothing ran
    When a balance is looked up with "GET"
    Then the last answer is 200

  # Guards against "not run" for a key whose call has run, as an earlier answer said.
  Scenario: With the key of a call that ran, while the key-value service is down
    When refund "r-1" is posted through "a"
    Then the last answer is 200
    Given the key-value service is down
    When refund "r-1" is posted through "a"
    Then the last answer does not say that "r-1" has not run

  # Guards against "not run" for a key whose record has not been read.
  Scenario: With a key, while too little time of a planned stop is left
    When a call with an Idempotency-Key meets the end of a planned stop
    Then it is refused with 503 and ran "unknown"

  Scenario: After no backend server took the connection, the same key runs
    Given the plain service is listed at an address that refuses connections
    When refund "r-1" is posted through "a"
    Then the last answer is 503 "no_backend" with ran "no"
    When a balance is looked up with "GET"
    Then the last answer is 503 "no_backend" with ran "no"
    And nothing ran
    When the plain service is listed again
    Then refund "r-1" succeeds through "a" in the end
    And refund "r-1" ran 1 time

  Scenario: With the connection closed before the answer
    Given plain services close 1 calls after they ran
    When refund "r-1" is posted through "a"
    Then the last answer is 502 "answer_lost" with ran "unknown"
    When refund "r-1" is posted through "a"
    Then the last answer is 409 "in_progress" with ran "unknown"
    And refund "r-1" ran 1 time

  Scenario: With the connection closed before it ran
    Given plain services close 1 calls before they run
    When refund "r-1" is posted through "a"
    Then the last answer is 502 "answer_lost" with ran "unknown"
    And nothing ran

  Scenario: With an answer that never comes
    Given plain calls may take 1 seconds
    And plain services take 3 seconds to answer
    When refund "r-1" is posted through "a"
    Then the last answer is 502 "answer_lost" with ran "unknown"
    When a balance is looked up with "GET"
    Then the last answer is 502 "answer_lost" with ran "unknown"

  Scenario: With the answer to another request
    Given plain services answer with the id "other"
    When refund "r-1" is posted through "a"
    Then the last answer is 502 "answer_lost" with ran "unknown"

  Scenario: With an answer too long to be kept
    Given plain services answer with 5000 bytes more
    When refund "r-1" is posted through "a"
    Then the last answer is 200
    When refund "r-1" is posted through "a"
    Then the last answer is 409 "answer_not_kept" with ran "yes"
    And refund "r-1" ran 1 time

  Scenario: With an answer too long to be passed on by the daemon that ran the call
    Given daemon "b" in domain "accra-1" reaches the key-value service through a proxy
    And plain services answer with 3000000 bytes more
    When 16 refunds are posted at once through "a"
    Then some of them succeed and the others say 502 "answer_too_long" with ran "yes"
    And each of them ran 1 time

  Scenario Outline: A repeatable <method> whose answer is lost is made again only if HTTP allows it
    Given a second plain service "ledger-2"
    And plain service "ledger-1" alone closes 1 calls after they ran
    When a balance is looked up with "<method>"
    Then the last answer is <status>
    And <calls> calls ran

    Examples:
      | method | status | calls |
      | GET    | 200    | 2     |
      | PUT    | 200    | 2     |
      | POST   | 502    | 1     |
      | PATCH  | 502    | 1     |

  Scenario: Retries of repeatable calls stop when the budget is spent
    Given a second plain service "ledger-2"
    And plain services close 1000 calls after they ran
    When 100 balances are looked up
    Then at most 120 calls ran
