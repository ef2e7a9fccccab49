Feature: A stream without length or chunks is told apart from a part of it on every path

  # Guards against a part that looks complete, or two engines at work on one run, where the daemon
  # has lost the connection and the engine works on.
  Scenario Outline: A run whose connection <breaks> is stopped before it goes on from its copy
    Given a platform store with document 5
    And an engine "planner-1" of "planner" in "lagos" behind a proxy
    And a routed daemon "a" in "lagos"
    And the engines' streams come without length or chunks
    And an engine "planner-2" of "planner" in "lagos" that is listed last
    When a plan of 800 events is streamed through "a"
    And the run is copied to "planner-2"
    And the open connections to "planner-1" <fault>
    Then the plan is whole
    And the run went on at "planner-2" where it had stopped at "planner-1"
    And "planner-2" began to work on it after "planner-1" had stopped

    Examples:
      | breaks           | fault                             |
      | falls silent     | fall silent                       |
      | is closed one way | are reset without its knowledge   |

  # Guards against the same, where the engine begins to leave just then.
  Scenario: A run whose connection is closed one way is moved at the same time
    Given a platform store with document 5
    And an engine "planner-1" of "planner" in "lagos" behind a proxy
    And a routed daemon "a" in "lagos"
    And the engines' streams come without length or chunks
    And an engine "planner-2" of "planner" in "lagos" that is listed last
    When a plan of 800 events is streamed through "a"
    And the run is copied to "planner-2"
    And the open connections to "planner-1" are reset without its knowledge
    And "planner-1" is listed as "draining"
    Then the plan is whole
    And the run went on at "planner-2" where it had stopped at "planner-1"

  # Guards against a part that looks complete to the daemon that relays it, and to its caller.
  Scenario Outline: A stream that another daemon relays goes on where its engine is <what>
    Given a platform store with document 5
    And an engine "planner-1" of "planner" in "lagos"
    And an engine "planner-2" of "planner" in "lagos"
    And the engines' streams come without length or chunks
    And daemons "a, b" in "lagos" and "m" in "kano" that can be cut off from servers
    When daemons "a" are cut off from all servers, with connections refused
    And 2 s have passed
    And a plan of 500 events is streamed through "a"
    And the run is copied to the other engine
    And the plan's engine is <what>
    Then the plan is whole
    And "a" has sent nothing to engines

    Examples:
      | what               |
      | listed as draining |
      | killed             |

  Scenario: A stream that another daemon relays breaks off where its engine is killed without a copy
    Given a platform store with document 5
    And an engine "planner-1" of "planner" in "lagos"
    And an engine "desk-1" of "desk" in "lagos"
    And the engines' streams come without length or chunks
    And daemons "a, b" in "lagos" and "m" in "kano" that can be cut off from servers
    When daemons "a" are cut off from all servers, with connections refused
    And 2 s have passed
    And a plan of 400 events is streamed through "a"
    And after 20 events "planner-1" is killed
    Then the plan breaks off and does not look complete
    And "a" has sent nothing to engines

  # Guards against a part that looks complete where the standby, too, is ordered to stop the run.
  Scenario Outline: A run that went on at its standby is moved again, where engines <manner>
    Given a platform store with document 5
    And an engine "planner-1" of "planner" in "lagos"
    And a routed daemon "a" in "lagos"
    And the engines' streams come without length or chunks
    And "planner-1", ordered to stop a run, <manner>
    And an engine "planner-2" of "planner" in "lagos" that is listed last
    When a plan of 600 events is streamed through "a"
    And the streams of "planner-2" come without length or chunks
    And "planner-2", ordered to stop a run, <manner>
    And after 20 events "planner-1" is listed as "draining"
    And "planner-2" has made 30 events of the plan
    And an engine "planner-3" of "planner" in "lagos" is listed
    And "planner-2" is listed as "draining"
    Then the plan is whole
    And the run went on at "planner-3"

    Examples:
      | manner        |
      | closes first  |
      | answers first |
      | never answers |

  # Guards against a part that looks complete where the domain of its engine is drained.
  Scenario Outline: A run of a drained domain goes on elsewhere, where its engine <manner>
    Given a platform store with document 5
    And an engine "planner-1" of "planner" in "lagos"
    And a routed daemon "a" in "lagos"
    And the engines' streams come without length or chunks
    And "planner-1", ordered to stop a run, <manner>
    And an engine "planner-2" of "planner" in "kano" that is listed last
    When a plan of 400 events is streamed through "a"
    And the operator writes that "lagos" is drained
    Then the plan is whole
    And the run went on at "planner-2"

    Examples:
      | manner        |
      | closes first  |
      | answers first |
      | never answers |

  # Guards against a part that looks complete since the engine where the run goes on sends nothing.
  Scenario: A standby that closes its answer before its first event does not end the stream
    Given a platform store with document 5
    And an engine "planner-1" of "planner" in "lagos"
    And a routed daemon "a" in "lagos"
    And the engines' streams come without length or chunks
    And an engine "planner-2" of "planner" in "lagos" that is listed last
    When a plan of 600 events is streamed through "a"
    And the run is copied to "planner-2"
    And "planner-2" has fault "unframed_empty"
    And "planner-1" is killed
    Then the plan breaks off and does not look complete

  # Guards against taking a dead engine for a living one: whatever forwards connections to it still
  # accepts them, and closes them at once.
  Scenario: A stream whose engine is killed behind a forwarder does not look complete
    Given a platform store with document 5
    And an engine "planner-1" of "planner" in "lagos" behind a proxy
    And a routed daemon "a" in "lagos"
    And the engines' streams come without length or chunks
    When a plan of 400 events is streamed through "a"
    And after 20 events "planner-1" is killed
    Then the plan breaks off and does not look complete
