Feature: Numbers beyond all bounds are taken for what they are: no numbers

  # Guards against an error that nobody expects, and a caller whose connection is closed for it.
  Scenario Outline: A caller that names <what> is answered
    Given a platform store with document 5
    And an engine "desk-1" of "desk" in "lagos"
    And an engine "planner-1" of "planner" in "lagos"
    And a routed daemon "a" in "lagos"
    When POST "<path>" is sent through "a" with "<header>" as "<value>"
    Then it has been answered

    Examples:
      | what                        | path     | header           | value                |
      | an endless patience         | /book/1  | X-Time-Remaining | inf                  |
      | a patience beyond numbers   | /book/1  | X-Time-Remaining | 1e400                |
      | a patience that is none     | /book/1  | X-Time-Remaining | nan                  |
      | an endless prompt           | /plans/1 | X-Token-Counts   | inf,1                |
      | an output that is no number | /plans/1 | X-Token-Counts   | 1,nan                |
      | a part beyond numbers       | /plans/1 | X-Prompt-Prefix  | a:LONG,b:1           |
      | a hint beyond numbers       | /plans/1 | X-Length-Hint    | 1e400                |

  # Guards against sizes that no scheduler can count with: a negative one frees memory that is not
  # there, and one beyond 64 bits fails where it is sent, logged or compared.
  Scenario Outline: A generation of <what> harms nobody
    Given a platform store with document 5
    And an engine "planner-1" of "planner" in "lagos"
    And a routed daemon "a" in "lagos"
    When POST "/plans/1" is sent through "a" with "<header>" as "<value>"
    And POST "/plans/2" is sent through "a" with "X-Token-Counts" as "100,5"
    Then it has been answered 200
    And the log of "a" has no line "request failed, loop failed, task failed"

    Examples:
      | what                    | header          | value         |
      | a negative prompt       | X-Token-Counts  | -1000000,5    |
      | a negative output       | X-Token-Counts  | 5,-1000000    |
      | a prompt beyond 64 bits | X-Token-Counts  | 1e300,5       |
      | an output beyond 64 bits | X-Token-Counts | 5,1e300       |
      | the largest prompt      | X-Token-Counts  | 1000000000000,5 |
      | sizes just over it      | X-Token-Counts  | 1e19,1e19     |
      | a hint beyond 64 bits   | X-Length-Hint   | 1e300         |
      | a negative hint         | X-Length-Hint   | -1000000      |

  # Guards against values that no list of ours has foreseen.
  Scenario: Whatever a caller's headers hold, the request is refused or can be scheduled and logged
    Then 1000 random heads are refused, or their requests can be scheduled and logged

  # Guards against a loop or a run that ends by what an engine says of itself.
  Scenario Outline: An engine that answers <call> with <body> has said nothing
    Given an engine that answers every call with <body>
    Then its <call> is a protocol error

    Examples:
      | call   | body                                                                                               |
      | load   | {"RunningRequests": 1e999, "WaitingRequests": 0, "KvCacheUsed": 0, "KvCacheTotal": 1}              |
      | load   | {"RunningRequests": null}                                                                          |
      | runs   | {"Runs": [["a", 1e999]]}                                                                           |
      | copy   | {"Handle": "h1\u000d\u000aX-Tenant: other"}                                                        |
      | copy   | {}                                                                                                 |
      | load   | DEEP                                                                                               |
