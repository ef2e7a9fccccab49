Feature: Only a server's end without a word counts against what it ran

  # Guards against a request that is condemned by ends it has nothing to do with (incident BUDGET).
  Scenario: A server that leaves counts against nobody, however it says so
    Given a request that runs on a listed server
    When the server is listed as leaving
    And the connection of the run is closed, and nobody listens there
    Then the request has 0 strikes
    When the server vanishes from the list
    And the connection of another run is closed, and nobody listens there
    Then the request has 0 strikes

  Scenario: A server that leaves the list first and ends later counts against nobody
    Given a request that runs on a listed server
    When the server vanishes from the list
    And the connection of the run is closed, and nobody listens there
    Then the request has 0 strikes

  Scenario: An answer that is broken off by a server that lives counts against nobody
    Given a request that runs on a listed server
    When the connection of the run is closed, and the server still listens
    And 7 s pass for the server
    And the server vanishes from the list
    Then the request has 0 strikes

  Scenario: A server whose process has ended counts at once
    Given a request that runs on a listed server
    When the connection of the run is closed, and nobody listens there
    Then the request has 1 strike

  Scenario: A server that fell silent counts once it has vanished from the list
    Given a request that runs on a listed server
    When nothing comes any more, and the run is given up
    Then the request has 0 strikes
    When 4 s pass for the server
    And the server vanishes from the list
    Then the request has 1 strike

  Scenario: A run that was still waiting when its silent server vanished counts as well
    Given a request that runs on a listed server
    When the server vanishes from the list
    And nothing comes any more, and the run is given up
    Then the request has 1 strike

  Scenario: A caller that leaves a stream which flows says nothing of its server
    Given a request that runs on a listed server
    When a piece comes, and the caller leaves at once
    And the server vanishes from the list
    Then the request has 0 strikes

  Scenario: Who has come to its end elsewhere is not counted any more
    Given a request that runs on a listed server
    When nothing comes any more, and the run is given up
    And the request comes to its end on another server
    And the server vanishes from the list
    Then the request has 0 strikes

  Scenario: One end of a server counts once, and against all that it ran
    Given a request that runs on a listed server
    And 20 other requests that run there
    When all connections are closed at once, and nobody listens there
    Then each of them has 1 strike
    And the server was probed once

  Scenario: Whoever was beside a culprit is excused once that is found out
    Given a quarantine that condemns by 3 servers
    When "culprit" and "neighbour" run on servers "a, b", which end
    Then "neighbour" must run apart
    When "culprit" runs on server "c", which ends
    Then "culprit" is condemned
    And "neighbour" need not run apart and is not condemned

  Scenario: Strikes go into the store from the second on, through an outage, and out again
    Given a quarantine that condemns by 3 servers, kept in a store that is away
    When "culprit" and "neighbour" run on servers "a", which end
    Then the store is not asked
    When "culprit" and "neighbour" run on servers "b", which end
    And the store is back
    Then the store holds "culprit" and "neighbour" with 2 strikes each
    When "neighbour" comes to its end
    Then the store holds "culprit" alone
    And a daemon that reads it knows that "culprit" has 2 strikes, and "neighbour" none

  # Guards against a request that crashes servers again, since the store lost its strikes in a drill
  # and their absence was taken for an absolution.
  Scenario: Strikes that the store has lost are written again, and clear nobody
    Given a quarantine that condemns by 3 servers, kept in a store that is away
    When "culprit" and "neighbour" run on servers "one, two", which end
    And the store is back
    And the store comes back from an older copy without strikes, and is read
    Then "culprit" must run apart
    And the store holds "culprit" and "neighbour" with 2 strikes each
    When another daemon removes the strikes, and the store is read
    Then "culprit" need not run apart and is not condemned

  # Guards against strikes of a request that was absolved, which an older copy brings back.
  Scenario: Strikes that had been removed are removed again when the store brings them back
    Given a quarantine that condemns by 3 servers, kept in a store that is away
    When "culprit" and "neighbour" run on servers "one, two", which end
    And the store is back
    And "neighbour" comes to its end
    Then the store holds "culprit" alone
    When the store comes back with the strikes that "neighbour" had, and is read
    Then the store holds "culprit" alone

  # Guards against strikes that come back from the store, or by a slower way, after an absolution.
  Scenario: A strike that comes after the absolution which followed it counts no more
    Given a quarantine that condemns by 3 servers
    When "neighbour" and "other" run on servers "a, b", which end
    And "neighbour" comes to its end
    And the same strikes of "neighbour" come once more
    Then "neighbour" need not run apart and is not condemned
    When "neighbour" runs on server "c", which ends
    Then "neighbour" has 1 strike

  # Guards against a strike by a wrong clock, or from a peer that is not sound, that counts for ever and
  # that no absolution removes.
  Scenario Outline: A strike of a peer that ends <seconds> s from now counts no longer than others
    Given a quarantine that condemns by 3 servers, with a clock of its own
    When a peer's strikes of "first" on servers "a, b, c" end <seconds> s from now
    Then "first" is condemned
    When <later> s have passed on that clock
    Then "first" need not run apart and is not condemned

    Examples:
      | seconds | later |
      | 600     | 601   |
      | 3600    | 601   |
      | 1e300   | 601   |

  # Guards against the same for a part of prompts, which no answer would clear.
  Scenario: A part of prompts is refused no longer for strikes that end too late
    Given a quarantine that condemns by 3 servers, with a clock of its own
    When a peer's strikes of prompts with "deadly" on servers "a, b, c" end 3600 s from now
    Then prompts with "deadly" are refused
    When 601 s have passed on that clock
    Then prompts with "deadly" are not refused

  # Guards against strikes of daemons whose clocks differ a little being changed on their way.
  Scenario: A strike of a peer whose clock is a little ahead is taken as it is
    Given a quarantine that condemns by 3 servers, with a clock of its own
    When a peer's strikes of "first" on servers "a" end 605 s from now
    Then the strike of "first" ends 605 s from now

  # Guards against a suspect that runs once more while its copy in another domain is about to crash.
  Scenario Outline: A suspect waits a moment for strikes from other failure domains
    Given a scheduler's 3 engines in one of <domains> failure domains
    When a request has just got a strike
    Then <now> of them may run it
    When a second has passed since the strike
    Then 3 of them may run it

    Examples:
      | domains | now |
      | 1       | 3   |
      | 2       | 0   |

  # Guards against a server that is back under its name being taken for dead at each broken connection.
  Scenario: A server that has started again under its name is not dead any more
    Given a request that runs on a listed server
    When the connection of the run is closed, and nobody listens there
    Then the request has 1 strike
    When another request comes to its end on that server
    And that request's next run there is closed, and the server still listens
    Then that request has no strike

  Scenario: Strikes of a request that is absolved while they are written do not stay in the store
    Given a quarantine that condemns by 3 servers, kept in a store that is away
    When "neighbour" and "other" run on servers "a, b", which end
    And "neighbour" comes to its end elsewhere while the strikes are written
    Then the store holds "other" alone
