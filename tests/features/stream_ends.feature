Feature: A generation is complete only with its end event, and only then does its caller hear of an end

  Background:
    Given a platform with both teams' settings
    And 1 engines "planner" in domain "lagos-1" of region "lagos"
    And daemons "a" in domain "lagos-1" of region "lagos"
    And the engines' own streams come without length or chunks

  # Guards against a part of a stream as the whole of it: where neither a length nor chunks tell, the
  # close of the connection looks like the end of the answer.
  Scenario Outline: A stream that its engine closes after <count> tokens, and goes on with, is resumed
    Given stand-in "planner-lagos-1-0" is set to {"close_at": <count>}
    When account "organisers" streams "plan [len=300]" from "planner" through "a"
    Then the answer has 300 tokens of one generation in order
    And the engines started 1 generation

    Examples:
      | count |
      | 1     |
      | 150   |
      | 300   |

  # Guards against the same for answers in one piece.
  Scenario: An answer in one piece whose stream is closed midway is whole
    Given stand-in "planner-lagos-1-0" is set to {"close_at": 150}
    When "plan [len=300]" is completed through "a" by a caller of HTTP/1.1
    Then the answer in one piece has a length and 300 tokens

  Scenario: Whole streams without length or chunks are complete
    When account "organisers" streams "plan [len=300]" from "planner" through "a"
    Then the answer has 300 tokens of one generation in order

  # Guards against a part that looks complete once the engine has died between two events.
  Scenario: A stream whose engine is killed between two events ends in an error
    When account "organisers" starts streaming "plan [len=2000]" from "planner" through "a"
    And the engine at work is killed
    Then within 2 seconds the answer ends in an error "engine_lost" that says ran "unknown"
    And what came is the beginning of one generation

  Scenario Outline: An answer in one piece whose engine is killed is refused to a caller of <version>
    When "plan [len=2000]" is being completed through "a" by a caller of <version>
    And the engine at work is killed
    Then that caller is answered 502 with a length

    Examples:
      | version  |
      | HTTP/1.0 |
      | HTTP/1.1 |

  # Guards against a part that looks complete to a caller to whom the end of the connection is the
  # only end that HTTP shows.
  Scenario Outline: A stream that breaks off has no end mark for a caller of <version>
    When "plan [len=2000]" is being streamed through "a" by a caller of <version> that <connection>
    And the engine at work is killed
    Then the connection of that caller ends, after an error event and without the end mark

    Examples:
      | version  | connection      |
      | HTTP/1.0 | closes          |
      | HTTP/1.0 | asks to keep it |
      | HTTP/1.1 | closes          |

  # Guards against a part that looks complete once the daemon itself has died.
  Scenario Outline: A stream whose daemon is killed has no end mark for a caller of <version>
    When "plan [len=2000]" is being streamed through "a" by a caller of <version> that closes
    And daemon "a" is killed
    Then the connection of that caller ends without the end mark

    Examples:
      | version  |
      | HTTP/1.0 |
      | HTTP/1.1 |

  # Guards against a caller who waits for the end of an answer that has been written.
  Scenario Outline: A whole stream for a caller of <version> that <connection> ends its connection
    When "plan [len=40]" is being streamed through "a" by a caller of <version> that <connection>
    Then the connection of that caller ends after the end mark

    Examples:
      | version  | connection      |
      | HTTP/1.0 | closes          |
      | HTTP/1.0 | asks to keep it |
      | HTTP/1.1 | closes          |
