Feature: All daemons together send plain calls to servers with room

  # Guards against daemons that fill a server since each sees its own few calls only.
  Scenario: Servers of unequal speed and numbers, and many daemons with a call now and then
    Given 84 daemons in 6 domains of 2 regions, and 7 servers of 6 slots, one 6 times as slow
    When 65 calls a second come for 20 s, to daemons that hear each other and to ones that do not
    Then with each other they reject no more, and 0.97 of the calls end within 0.4 s
    And their busiest server has at most 0.9 times the calls over the mean
    And the slow server gets at most 0.5 times the calls

  Scenario: More calls than the servers of a domain bear
    Given 84 daemons in 6 domains of 2 regions, and 7 servers of 6 slots, one 6 times as slow
    And half of all calls come to one domain
    When 220 calls a second come for 10 s, to daemons that hear each other and to ones that do not
    Then with each other they reject no more, and 0.96 of the calls end within 0.4 s

  Scenario: Calls for most of what all servers bear
    Given 84 daemons in 6 domains of 2 regions, and 7 servers of 6 slots, one 2 times as slow
    When 330 calls a second come for 6 s, to daemons that hear each other and to ones that do not
    Then with each other they reject no more, and 0.96 of the calls end within 0.4 s
    And their busiest server has at most 0.9 times the calls over the mean

  Scenario: A server that turns slow is left alone soon
    Given 84 daemons in 6 domains of 2 regions, and 7 servers of 6 slots, one 1 times as slow
    And that server is 15 times as slow from the 8th second on
    When 65 calls a second come for 20 s, to daemons that hear each other and to ones that do not
    Then with each other they reject no more, and 0.97 of the calls end within 0.4 s
    And the slow server gets at most 0.8 times the calls

  Scenario Outline: What others have reported ages, and never excludes a server
    Given servers with 4 places, one near and one in another region
    When others report 12 calls and 2 rejections at the near one <seconds> s ago
    Then the far one gets <least> to <most> of 200 calls
    But the near one is chosen if it is the only one

    Examples:
      | seconds | least | most |
      | 0.5     | 200   | 200  |
      | 1.4     | 120   | 160  |
      | 2       | 0     | 0    |

  Scenario: A rejection is remembered for a moment
    Given servers with 4 places, one near and one in another region
    When the near one rejects a call, and 2 more do not get there
    Then the far one is chosen
    When 3 s pass for the choice
    Then the near one is chosen

  Scenario: Nearest goes first where nothing is loaded, and equals share
    Given servers with 4 places, one near and one in another region
    And a second one near
    Then of 200 calls one after the other each near one gets at least 70, and the far one none

  Scenario Outline: A daemon that hears <whom> judges by its own calls, and says so once
    Given a daemon that sums for its domain, and <number> listed
    When it has had a plain call for 4 rounds, and <whom> answers
    Then it has asked <asked> times in all
    And it has logged <lines> times that it knows its own calls alone

    Examples:
      | whom   | number | asked | lines |
      | nobody | 3      | 1     | 1     |
      | nobody | 1      | 0     | 0     |
      | b      | 3      | 4     | 0     |

  Scenario: A daemon without plain calls sends nothing
    Given a daemon that sums for its domain, and 3 listed
    When it has had no plain call for 4 rounds, and b answers
    Then it has asked 0 times in all

  Scenario: Reports and answers are bounded, the busiest servers first
    Given reports of 380 daemons on 3200 servers
    Then the answer to one of them names 64 servers, the busiest of all first
    And it is shorter than 8000 bytes
    And what it reported itself is not in the answer

  Scenario: Real daemons know of each other's calls
    Given a platform store with document 1
    And an engine "desk-1" of "desk" in "lagos"
    And routed daemons "a, b, c" in "lagos"
    When callers send a plain call each 50 ms through "a, b" for 3 s
    Then "a, b" have shared how "desk-1" is used
