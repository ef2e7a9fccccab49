Feature: A plain call's answer that was cut off by the end of its connection is never passed on

  Background:
    Given a platform with both teams' settings
    And 1 plain service "ledger" in domain "accra-1" of region "accra"
    And daemons "a" in domain "accra-1" of region "accra"

  # Guards against the check of cut answers that refuses whole ones.
  Scenario: Whole answers without a length or chunks are passed on
    Given plain services' answers have no length or chunks and are whole
    When a balance is looked up with "GET"
    Then the last answer is 200
    And the answer is whole
    When a balance is looked up with "PATCH"
    Then the last answer is 200
    And the answer is whole
    When refund "r-1" is posted through "a"
    And refund "r-1" is posted through "a"
    Then every post of "r-1" succeeded
    And refund "r-1" ran 1 time

  # Guards against the first part of an answer as the whole of it: the connection of a server that
  # is killed closes like that of one that has finished.
  Scenario Outline: An answer to "<method>" is <end> after <part> of its body
    Given plain services' answers have no length or chunks and are <end> after <part> of the body
    When a balance is looked up with "<method>"
    Then the last answer is 502 "answer_lost" with ran "unknown"

    Examples:
      | method | end    | part |
      | GET    | killed | 0.5  |
      | GET    | killed | 0    |
      | PATCH  | killed | 0.5  |
      | PATCH  | killed | 0    |
      | GET    | reset  | 0.5  |
      | PATCH  | reset  | 0.5  |

  # Guards against the same, where a call may be sent again.
  Scenario Outline: An idempotent call whose server is killed in its answer is answered by another
    Given 1 plain service "ledger" in domain "accra-2" of region "accra"
    And "ledger-accra-1-0" alone is killed after <part> of the body of an answer
    When balances are looked up until that service has ended
    Then each of these answers is whole

    Examples:
      | part |
      | 0.5  |
      | 0    |

  # Guards against the first part of an answer that is kept as the outcome of a call which may not
  # be repeated, and is given to each who asks again.
  Scenario Outline: A cut answer is not recorded as the outcome of a call: <end> after <part>
    Given plain services' answers have no length or chunks and are <end> after <part> of the body
    When refund "r-1" is posted through "a"
    Then the last answer is 502 "answer_lost" with ran "unknown"
    When refund "r-1" is posted through "a" again, to a service that answers whole
    Then no post of "r-1" was answered with a success

    Examples:
      | end    | part |
      | killed | 0.5  |
      | killed | 0    |
      | reset  | 0.5  |
