Feature: What callers send is checked, and every refusal names its exact fault

  Background:
    Given a platform with both teams' settings
    And 1 engines "planner" in domain "lagos-1" of region "lagos"
    And 1 plain service "ledger" in domain "lagos-1" of region "lagos"
    And daemons "a" in domain "lagos-1" of region "lagos" with short limits

  Scenario: An ordinary OpenAI client streams, reads whole answers and lists models
    When the openai client of "organisers" streams 40 tokens from "planner" through "a"
    Then the answer has 40 tokens of one generation in order
    When the openai client of "organisers" asks "planner" for 15 tokens at once through "a"
    Then the whole answer has 15 tokens and its usage says 15
    When the openai client of "organisers" completes 12 tokens of plain text from "planner" through "a"
    Then the answer has 12 tokens of one generation in order
    And the openai client of "organisers" sees the models "planner" through "a"
    And the openai client of "depots" gets a NotFoundError for model "planner" through "a"

  Scenario: Bad requests are refused with their exact fault and nothing is forwarded
    When these requests are sent through "a"
      | method | path                  | key            | body                                                    |
      | POST   | /v1/chat/completions  | organisers-key | {"model": "planner", "messages": [                       |
      | POST   | /v1/chat/completions  | organisers-key | [1]                                                     |
      | POST   | /v1/chat/completions  | organisers-key | {"messages": [{"role": "user", "content": "x"}]}        |
      | POST   | /v1/chat/completions  | organisers-key | {"model": 3, "messages": []}                            |
      | POST   | /v1/chat/completions  | organisers-key | {"model": "planner", "messages": []}                    |
      | POST   | /v1/chat/completions  | organisers-key | {"model": "planner", "messages": [{"content": "x"}]}    |
      | POST   | /v1/chat/completions  | organisers-key | {"model": "planner", "messages": "x"}                   |
      | POST   | /v1/completions       | organisers-key | {"model": "planner", "prompt": "x", "max_tokens": 0}    |
      | POST   | /v1/completions       | organisers-key | {"model": "planner", "prompt": "x", "stream": "yes"}    |
      | POST   | /v1/completions       | organisers-key | {"model": "nobody", "prompt": "x"}                      |
      | POST   | /v1/completions       | wrong-key      | {"model": "planner", "prompt": "x"}                     |
      | GET    | /v1/nothing           | organisers-key |                                                         |
      | GET    | /v1/completions       | organisers-key |                                                         |
      | POST   | /services/nobody/x    | organisers-key | {}                                                      |
      | POST   | /services/deposit-ledger/refunds | depots-key |  {}                                              |
    Then their answers are
      | status | reason       | detail               |
      | 400    | bad_request  | not JSON             |
      | 400    | bad_request  | JSON object          |
      | 400    | bad_request  | model: missing       |
      | 400    | bad_request  | model: must be str   |
      | 400    | bad_request  | messages             |
      | 400    | bad_request  | role: missing        |
      | 400    | bad_request  | messages: must be    |
      | 400    | bad_request  | max_tokens           |
      | 400    | bad_request  | stream: must be bool |
      | 404    | unknown_model | nobody              |
      | 401    | bad_key      | key                  |
      | 404    | unknown_path | /v1/nothing          |
      | 405    | method_not_allowed | method         |
      | 404    | unknown_model | nobody              |
      | 400    | key_needed   | Idempotency-Key      |
    And each answer is a problem that says ran "no"
    And no backend server was asked

  Scenario: A body over the limit is refused before it is read, sized or chunked
    When a body of 300000 bytes is announced to "a"
    Then the raw answer has status 413 and reason "body_too_large"
    When a chunked body of 300000 bytes is sent to "a"
    Then the raw answer has status 413 and reason "body_too_large"
    And no backend server was asked

  Scenario: Headers over the limit are refused
    When headers of 20000 bytes are sent to "a"
    Then the raw answer has status 431 and reason "header_too_large"

  Scenario: A sender that never ends its body is refused in time
    When half a body is sent to "a"
    Then the raw answer has status 408 and reason "too_slow"
    And no backend server was asked

  Scenario: A cursor that was altered, invented or taken from another account is refused
    When account "organisers" streams "plan [len=30]" from "planner" through "a"
    Then resuming with an altered cursor through "a" gives status 400 and reason "bad_cursor"
    And resuming with the cursor "nonsense" through "a" gives status 400 and reason "bad_cursor"
    And resuming with the cursor through "a" as "depots" gives status 404 and reason "unknown_model"
    Given the settings "tests/settings/one-at-a-time.ini" are applied
    Then resuming with the cursor through "a" as "single" gives status 403 and reason "foreign_cursor"

  Scenario: An account's limit of requests in progress is kept
    Given the settings "tests/settings/one-at-a-time.ini" are applied
    When account "single" starts streaming "plan [len=2000]" from "planner" through "a"
    Then another stream of "single" from "planner" through "a" is refused with status 429
    And the refusal came with Retry-After

  Scenario: A resume that is refused does not say that its generation never ran
    Given the settings "tests/settings/one-at-a-time.ini" are applied
    When account "single" starts streaming "plan [len=2000]" from "planner" through "a"
    Then resuming it once more through "a" is refused with status 429 that says ran "unknown"

  Scenario: Metrics tell each account's histograms apart
    When account "organisers" streams "plan [len=30]" from "planner" through "a"
    Then the metrics of "a" count 1 output of 30 tokens for "organisers"
    And the metrics of "a" count 1 wait in the queue for "organisers"
    And the metrics of "a" count 1 request answered 200
    When an engine preempts, "a" counts it
