Feature: No frame harms more than itself

  # Guards against frames that fail where they are used, in a handler, a loop or a log line, and
  # against errors of the decoder that its callers do not expect.
  Scenario: Whatever bytes a frame consists of, it is refused or it is a sound message
    Then 1000 random frames are refused or decoded into values of their fields' types
    And 1000 altered frames are refused or decoded into values of their fields' types

  # Guards against one malformed frame that ends a link, and with it the answers of all other calls
  # on it.
  Scenario Outline: A frame that is <content> costs no other call its answer
    Given two linked daemons
    When a frame that is <content> is sent to each while calls are in progress
    Then the other calls are answered on the same link
    And the daemon that got it has logged "message refused"

    Examples:
      | content                |
      | text                   |
      | noise                  |
      | empty                  |
      | nested deeply          |
      | of another version     |
      | of an unknown kind     |
      | of an unexpected kind  |
      | of a wrong type        |

  Scenario: A malformed frame ends its own call at once
    Given two linked daemons
    When a call of one is malformed, and the answer to another of its calls
    Then the first fails as not carried out, and the second as not known

  # Guards against a message that cannot be sent, which ended the link or the task that sent it.
  Scenario Outline: A message that is <content> fails its own call, and at once
    Given two linked daemons
    When a call and an answer that are <content> are sent while calls are in progress
    Then both fail at once and are logged or told to the caller
    And the other calls are answered on the same link

    Examples:
      | content                 |
      | half a character        |
      | too long for a frame    |
      | of a wrong type         |

  # Guards against a link that stays in use without a reader, since its peer could not be added.
  Scenario: A peer that names no address gets no link, and harms no other daemon
    Given two linked daemons
    When a daemon whose address is "nowhere" dials one of them
    Then it gets no link, and the other link works on
    And a summary that names it and another daemon makes known the other alone
