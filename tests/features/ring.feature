Feature: Daemons of a domain watch each other on a ring, and all know who is dead

  Scenario: Neighbours on the ring that freeze at once are dead for every other daemon
    Given a platform with both teams' settings
    And 12 daemons in domain "lagos-1" of region "lagos"
    When 4 daemons that are neighbours on the ring are frozen
    Then every other daemon takes exactly those for dead within 10 seconds
    When the frozen daemons are thawed
    Then every daemon sees every other one alive
    And no daemon that was frozen took another one for dead

  Scenario: What a daemon says of itself reaches also those that do not watch it
    Given a platform with both teams' settings
    And 12 daemons in domain "lagos-1" of region "lagos"
    When daemon "d03" is killed
    And daemon "d03" is started again
    Then every daemon sees every other one alive
    When daemon "d03" is asked to stop
    Then every other daemon knows within 5 seconds that "d03" leaves

  Scenario: A daemon that two neighbours cannot hear stays alive for all the others
    Given a platform with both teams' settings
    And 10 daemons in domain "lagos-1" of region "lagos" behind proxies of their own
    When the links between two neighbours on the ring are frozen
    Then the two take each other for dead within 10 seconds
    And 3 seconds later nobody else has taken either for dead
    When the links are thawed
    Then every daemon sees every other one alive

  Scenario: A domain parted in two agrees on either side, and heals
    Given a platform with both teams' settings
    And 10 daemons in domain "lagos-1" of region "lagos" behind proxies of their own
    When the links between the first 3 daemons and the others are frozen
    Then each side takes exactly its own daemons for alive within 12 seconds
    When the links are thawed
    Then every daemon sees every other one alive

  Scenario Outline: A domain of 48 where <event> agrees on who is alive
    Given 48 daemons that only watch each other
    When <event>
    Then each side takes exactly its own for alive after <seconds> seconds

    Examples:
      | event                                      | seconds |
      | a run of 6 neighbours on the ring dies     | 6       |
      | 6 daemons of a rack die                    | 6       |
      | every second daemon is cut off from others | 10      |
      | 1 daemon is cut off from all others        | 10      |
      | a run of 20 neighbours on the ring dies    | 10      |
      | a daemon dies long after its neighbours    | 6       |

  Scenario: A daemon that wakes from a pause takes nobody for dead
    Given 48 daemons that only watch each other
    When one of them pauses for 30 seconds
    Then it takes all others for alive when it wakes, and a minute later

  Scenario: A daemon of a version before the ring hears everybody's beats
    Given 48 daemons that only watch each other
    When one of them is of a version before the ring
    Then every other one beats it, and only a few others
    When a run of 6 neighbours on the ring dies
    Then each side takes exactly its own for alive after 6 seconds
    And the one of a version before the ring had no report
