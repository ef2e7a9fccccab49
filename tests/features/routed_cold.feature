Feature: Servers that have just started get no more than they bear, from all daemons together

  # Guards against a server that falls over since many daemons, which do not hear each other, find
  # it empty at once.
  Scenario Outline: <daemons> daemons that hear nobody and all have callers, at a pace of <pace>
    Given <daemons> daemons that know of one cold server, at <pace> requests a second for 6 s
    When each of them would send a request each 10 ms for 6 s
    Then the server gets at most 1.5 times its pace and 5 requests in any second
    And it gets at least a fifth of its pace

    Examples:
      | daemons | pace |
      | 1       | 26   |
      | 3       | 2    |
      | 60      | 26   |
      | 60      | 1    |
      | 60      | 100  |
      | 380     | 26   |

  Scenario: Daemons whose lists of daemons differ
    Given 60 daemons that know of one cold server, at 26 requests a second for 6 s
    And a third of them lack 5 daemons in their lists, and a third lack 5 others
    When each of them would send a request each 10 ms for 6 s
    Then the server gets at most 1.5 times its pace and 5 requests in any second

  Scenario: All daemons are killed and started again while a server is cold
    Given 60 daemons that know of one cold server, at 26 requests a second for 6 s
    And all of them begin anew each 0.7 s
    When each of them would send a request each 10 ms for 6 s
    Then the server gets at most 1.5 times its pace and 5 requests in any second

  Scenario: A server is warm when its time is over, or when it says so
    Given 1 daemons that know of one cold server, at 26 requests a second for 6 s
    Then it is warm after 6.1 s
    And it is warm at once if the list says so

  Scenario: A server that turns cold later says so in its answer
    Given a daemon that knows of a warm server
    When an answer of it says that it is cold for 2 s
    Then the server is cold for 2 s

  # Guards against a cold server that falls over under the runs that go on there all at once.
  Scenario: Runs that go on at a cold server keep to its pace, too
    Given a daemon that knows of a cold server, at 26 requests a second for 4 s
    Then no run may go on there now
    And of 8 runs that wait for a turn there for 0.3 s, at least 1 and at most 5 get one
    And a run may not go on there where this daemon has no part of its pace

  Scenario: A call goes to a warm server far away rather than to a cold one near
    Given servers with 4 places, one near and one in another region
    When the near one turns cold
    Then the far one is chosen
    When the near one is warm again
    Then the near one is chosen

  Scenario Outline: Engines that must not be granted while <what>
    Given engines "one, two" here and "far" elsewhere, of which "<cold>" are cold
    Then the schedulers must not grant "<avoided>", and this domain <may> serve

    Examples:
      | what                         | cold          | avoided       | may     |
      | none is cold                 | none          | none          | may     |
      | a warm one is here           | one           | one           | may     |
      | all here are cold            | one, two      | one, two      | may not |
      | one elsewhere is cold        | far           | far           | may     |

  Scenario: A cold engine that this daemon may use is granted where no warm one is here
    Given engines "one, two" here and "far" elsewhere, of which "one, two" are cold
    And this daemon has a turn at them
    Then the schedulers must not grant "none", and this domain may serve

  Scenario: An entry that counts down makes no new list; turning cold and warm does
    Given a directory of a service whose servers are cold for 4 s
    When a server's entry says that it is cold for 4 s
    Then it is listed as cold for 4 s
    When 1.2 s pass, and its entry says 2.8 s
    Then the list is as before
    When 1.2 s pass, and its entry says 4 s
    Then it is listed as cold for 4.001 s
    When 5 s pass, and its entry says 0 s
    Then it is listed as cold for 0 s

  Scenario: The servers of a domain that is taken back are listed as cold
    Given a directory of a service whose servers are cold for 4 s
    When a server's entry says that it is cold for 0 s
    And the operator drains its domain, and takes it back
    Then it is listed as cold for 4 s

  # Guards against a domain that fills up at once, since its return fell into a change of the daemon
  # that follows the store.
  Scenario: A daemon that begins to follow the store finds a domain taken back
    Given a directory of a service whose servers are cold for 4 s
    And another daemon's list in which a server is of a drained domain
    When the whole store is read, in which nothing is drained
    Then it is listed as cold for 4 s

  # Guards against servers that count as cold once more, long after their domain was taken back.
  Scenario: A daemon follows the store again after others took a domain back
    Given a directory of a service whose servers are cold for 4 s
    When a server's entry says that it is cold for 0 s
    And the operator drains its domain
    And others list it as taken back and warm
    And the whole store is read, in which nothing is drained
    Then it is listed as cold for 0 s

  Scenario: Other changes of the list do not renew the cold time of an entry that was read before
    Given a directory of a service whose servers are cold for 4 s
    When a server's entry says that it is cold for 4 s
    And 0.9 s pass, and the operator drains another domain
    Then it is listed as cold for 4 s

  # Guards against memory that grows with each server that leaves while it is cold.
  Scenario: Servers that leave while they are cold are forgotten
    Given a directory of a service whose servers are cold for 4 s
    When a server's entry says that it is cold for 4 s
    And all servers leave the list
    Then nothing is kept of cold times

  Scenario: Where a service's servers bear any pace, nothing is listed as cold
    Given a directory of a service whose servers bear any pace
    When a server's entry says that it is cold for 4 s
    Then it is listed as cold for 0 s

  # Guards against a value that makes no sense opening more than its server bears.
  Scenario Outline: An entry whose cold time is <odd>
    Then an entry whose cold time is <value> ms names a server that is cold for <seconds>

    Examples:
      | odd        | value  | seconds |
      | missing    | null   | 0       |
      | a fraction | 1500.5 | 1.5005  |
      | negative   | -5     | 600     |
      | huge       | 1e300  | 600     |
      | a text     | "soon" | nothing |
      | a flag     | true   | nothing |

  Scenario: Real daemons leave a cold server alone while another is warm
    Given a platform store whose plain servers bear 2 requests a second for 4 s after a start
    And an engine "desk-1" of "desk" in "lagos"
    And an engine "desk-2" of "desk" in "kano"
    And routed daemons "a, b" in "lagos"
    Then GET "/view/1" through "a" is answered 200 by "desk-1"
    When "desk-1" is listed as cold for 4 s
    Then GET "/view/1" through "a" is soon answered 200 by "desk-2"
    And GET "/view/1" through "b" is soon answered 200 by "desk-2"
    And "desk-1" gets nothing for 1 s of calls through "a, b"
    And GET "/view/1" through "a" is soon answered 200 by "desk-1"
