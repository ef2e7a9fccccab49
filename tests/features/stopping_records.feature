Feature: A planned stop finishes calls that may not be repeated, and their records

  Background:
    Given a platform with both teams' settings
    And a plain service "ledger-1" behind a proxy in domain "accra-1"
    And a daemon "a" with the platform behind a proxy in domain "accra-1"

  Scenario Outline: Slow calls are in progress when <which> is asked to stop
    Given daemons "c" in domain "accra-1" of region "accra"
    And daemons "a" and "c" both take duties
    And plain services answer with 900000 bytes more
    And calls are held while the answer is awaited
    When 8 slow refunds are being posted through "a"
    And daemon "<daemon>" is asked to stop
    And "<daemon>" is no longer ready
    And longer than the notice of a stop has passed
    And nothing is held any more
    Then each slow refund is answered whole and ran 1 time
    And daemon "<daemon>" exits with status 0

    Examples:
      | which                               | daemon |
      | the daemon that the callers reached | a      |
      | the daemon that runs some of them   | c      |

  Scenario: The caller of a long answer reads slowly while its daemon stops
    Given plain services answer with 3000000 bytes more
    When a refund is posted through "a" by a caller that does not read yet
    And daemon "a" is asked to stop
    And "a" is no longer ready
    And longer than the notice of a stop has passed
    Then the caller reads its whole answer
    And daemon "a" exits with status 0

  Scenario: The outcome of a call could not be written yet when its daemon is asked to stop
    Given daemons "b" in domain "accra-2" of region "accra"
    And calls are held while the answer is awaited
    When refund "r-1" is being posted through "a" and is held while the answer is awaited
    And the refund link to the platform is cut
    And nothing is held any more
    Then the posted refund succeeds
    When daemon "a" is asked to stop
    And "a" is no longer ready
    And longer than the notice of a stop has passed
    And the links are mended
    Then daemon "a" exits with status 0
    When refund "r-1" is posted through "b"
    Then every post of "r-1" succeeded
    And refund "r-1" ran 1 time
