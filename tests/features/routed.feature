Feature: Requests on any path are routed by host and prefix and forwarded unchanged

  Background:
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And an engine "desk-2" of "desk" in "kano"
    And a routed daemon "a" in "lagos"

  Scenario: The longest prefix of a host decides, and refusals follow the document
    When document 6 adds route "/view/special/" of kind "safe" to "planner"
    And "a" has document 6
    Then GET "/view/1" through "a" is answered 200 by "desk-1"
    And GET "/view/special/1" through "a" is answered 503
    And GET "/nothing/1" through "a" is answered 404
    And an unknown key gets 401 for "/view/1" through "a"
    And no key gets 200 for "/open/1" through "a"

  Scenario: Method, path, query, body and headers reach the engine as they came
    When a chunked POST "/book/x%20y?q=1&q=2" with body "any bytes" goes through "a"
    Then "desk-1" ran "POST" "/book/x%20y?q=1&q=2" with body "any bytes"
    And it had header "Host" "site.example"
    And it had header "X-Own" "kept"
    And it had header "X-Tenant" "organisers"
    And it had header "X-Expected-Instance" "desk-1"
    And it had no header "Api-Key"
    And it had no header "X-Hold"
    And it had no header "Kv-From"
    And it had less time than 15000 ms

  Scenario Outline: What has not run goes to another engine, of any kind
    When "desk-1" has fault "shed"
    Then <method> "<path>" through "a" is answered 200 by "desk-2"
    And "desk-1" ran nothing
    Examples:
      | method | path    |
      | POST   | /book/1 |
      | GET    | /view/1 |

  Scenario Outline: What may have run is sent again only if it may repeat
    When "desk-1" has fault "<fault>"
    Then POST "/book/1" through "a" is answered 502
    And "desk-2" ran nothing
    And GET "/view/1" through "a" is answered 200 by "desk-2"
    Examples:
      | fault          |
      | lose           |
      | garbage        |
      | wrong_id       |
      | encoded        |
      | reset_unframed |

  # Guards against a part of an answer without a length that looks complete, since its server's death
  # closes the connection as a proper end does.
  Scenario: An answer without a length whose server is killed is not whole
    When "desk-1" has fault "killed_unframed"
    Then POST "/book/1" through "a" is answered 502
    And "desk-2" ran nothing
    And GET "/view/1" through "a" is answered 200 by "desk-2"

  Scenario: An answer without a length that ends well is whole
    When "desk-1" has fault "unframed"
    Then POST "/book/1" through "a" is answered 200 with body "first half second half"

  Scenario: A status that promises "not run" is not passed on for what ran
    When "desk-1" has fault "promise"
    Then POST "/book/1" through "a" is answered 502

  Scenario: A refusal that says "not run" says when to come back
    When "desk-1" has fault "shed"
    And "desk-2" has fault "shed"
    Then POST "/book/1" through "a" is answered 503 with Retry-After under 2 s

  Scenario: Limits of the document hold
    Then 200000 bytes of body get 413 through "a"
    And 9000 bytes of headers get 431 through "a"

  Scenario: A smuggled second request is refused
    When a request with two different lengths is sent through "a"
    Then it is answered 400
    And "desk-1" ran nothing

  Scenario: A caller that leaves ends the call at the engine
    When "desk-1" takes 3 s for each call
    And a caller of "/view/1" through "a" leaves after 0.3 s
    Then the call at "desk-1" is cancelled within 0.5 s

  Scenario: Each refused request can be found in the log by its id
    When GET "/nothing/1" is sent through "a"
    Then the log of "a" has a line "request ended" for it with reason "no_route" and the document's version and age
    And the metrics of "a" count requests by route, account and end
    And "papayacourse explain" tells it from the log of "a" with "no_route"

  # Guards against "not run" being said of a plan that an engine has.
  Scenario Outline: What an engine has been sent is not called "not run"
    Given an engine "plan-1" of "planner" in "lagos"
    When "plan-1" has fault "<fault>"
    Then a plan of a caller with 1500 ms through "a" is answered <status> with ran "<ran>"
    And "plan-1" has run it

    Examples:
      | fault   | status | ran     |
      | mute    | 504    | unknown |
      | promise | 502    | yes     |
