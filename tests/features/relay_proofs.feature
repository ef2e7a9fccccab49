Feature: What another daemon did with a relayed request is "not run" only where it says so

  # Guards against "not run" for a request that another daemon may have sent to a server, and against relaying it once more (incident REFUSED).
  Scenario Outline: A <kind> that "b" <first>, and "c" <second>, is answered <status>
    Given a daemon that reaches no server, beside daemons "b" and "c"
    When the asked daemon "b" <first>
    And the asked daemon "c" <second>
    And the cut-off daemon relays a <kind>
    Then the relayed answer is <status>
    And the cut-off daemon asked "<asked>"

    Examples:
      | kind            | first                        | second           | status | asked |
      | call            | declines it                  | serves it        | 200    | b, c  |
      | call            | cannot be reached            | serves it        | 200    | b, c  |
      | call            | declines it                  | refuses it       | 503    | b, c  |
      | call            | declines it                  | declines it      | 503    | b, c  |
      | call            | gives it back                | refuses it       | 503    | b, c  |
      | call            | says nothing                 | serves it        | 502    | b     |
      | call            | fails                        | serves it        | 502    | b     |
      | call            | gives a strange answer       | serves it        | 502    | b     |
      | call            | accepts it and breaks off    | serves it        | 502    | b     |
      | call            | answers with status 0        | serves it        | 502    | b     |
      | call            | answers with status 600      | serves it        | 502    | b     |
      | call            | begins and gives it back     | serves it        | 200    | b     |
      | repeatable call | begins and gives it back     | serves it        | 200    | b     |
      | repeatable call | says nothing                 | serves it        | 200    | b, c  |
      | repeatable call | says nothing                 | refuses it       | 502    | b, c  |
      | repeatable call | says nothing                 | declines it      | 502    | b, c  |
      | repeatable call | fails                        | refuses it       | 502    | b, c  |
      | repeatable call | gives a strange answer       | declines it      | 502    | b, c  |
