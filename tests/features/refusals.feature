Feature: Who is let into the queue is nearly always served, and everyone else is refused at once

  Scenario: Places promised to those who come back are not given to those who come later
    Given a service that gave at least 4 places back in each second of a backlog
    When 2 requests of "large" wait
    And 3 requests of "large" were told to come back within a second
    Then a new request of "large" is refused
    And a request of "large" that comes back is let in
    And a new request of "small" is let in

  Scenario: Those who were told to come back and have not come hold no places
    Given a service that gave at least 4 places back in each second of a backlog
    When 3 requests of "large" were told to come back within a second
    And 3 seconds have passed
    And 2 requests of "large" wait
    Then a new request of "large" is let in

  Scenario: A standstill is known before its window has passed
    Given a service that gave at least 8 places back in each second of a backlog
    When 2 requests of "large" wait
    And 0.8 seconds have passed without a place
    Then a new request of "large" is refused

  Scenario: A request that takes several places does not wait for them among others
    Given a service that gave at least 4 places back in each second of a backlog
    When 1 request of "large" waits
    Then a new request of "small" is let in
    And a new request of "small" with a prompt of 700 tokens is refused

  Scenario: Those refused in one burst come back at the pace of their account, one of four
    Given a service that gave at least 4 places back in each second of a backlog
    When 8 requests of "large" are refused
    Then their promises are spread over at least 6 seconds
