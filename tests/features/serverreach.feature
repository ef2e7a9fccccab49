Feature: A daemon knows whether it reaches any server

  # Guards against taking one server that is down for a cut, and a cut for servers that are down.
  Scenario Outline: Only a daemon that reaches none of several servers is cut off
    Given <count> servers, of which <up> can be reached
    When a connection to a server fails
    Then the daemon is <state>

    Examples:
      | count | up | state       |
      | 6     | 6  | not cut off |
      | 6     | 5  | not cut off |
      | 6     | 0  | cut off     |
      | 2     | 0  | cut off     |
      | 1     | 0  | not cut off |
      | 0     | 0  | not cut off |

  # Guards against servers that are down, most of a service, passing for a cut (strikes are not given then).
  Scenario: One server of ten that can be reached is enough, each time
    Given 10 servers, of which 1 can be reached
    Then the daemon is not cut off in any of 40 checks

  # Guards against checks for each request that fails on a busy daemon.
  Scenario: Who has just opened a connection does not ask others
    Given 6 servers, of which 6 can be reached
    When a connection to a server is opened
    And a connection to a server fails
    Then no server was asked
    When 1 s has passed
    And a connection to a server fails
    Then 4 servers at most were asked

  # Guards against a daemon that stays cut off for itself after the cut has ended.
  Scenario: A daemon notices that servers can be reached again
    Given 6 servers, of which 0 can be reached
    When a connection to a server fails
    Then the daemon is cut off
    When 1 of them can be reached, of another service and domain than the rest
    And it checks again
    Then the daemon is not cut off

  # Guards against a relayed answer that loses its order, its end or its bound in memory.
  Scenario Outline: A relayed answer comes in order, whole or visibly not
    Given a relayed request whose caller takes one part at a time
    When it is answered with <pieces> pieces of <size> bytes and <end>
    Then the caller has all of them in order, and the last part says "<said>"
    And at most 400000 bytes waited

    Examples:
      | pieces | size   | end        | said   |
      | 1      | 10     | ends       | whole  |
      | 500    | 100    | ends       | whole  |
      | 40     | 100000 | ends       | whole  |
      | 40     | 100000 | breaks off | broken |

  # Guards against a daemon that answers "not run" for good where another could serve the request.
  Scenario: A request that a daemon which is cut off as well refuses is left to others
    Given a relayed request whose caller takes one part at a time
    When it is refused as not run by a daemon that reaches no server
    Then the caller's daemon is told that it was not served

  # Guards against a server that works on for a caller who left before its answer began.
  Scenario: A caller who has left is noticed with the first part
    Given a relayed request whose caller takes one part at a time
    When its caller has left by the first part of its answer
    Then the request is cancelled

  # Guards against tasks that wait for ever, one for each caller who leaves.
  Scenario: Parts of an answer whose caller has left are let go
    Given parts that wait for a caller who has left
    Then none of them waits any longer, and each is told that it was not taken
