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

  # Guards against a peer's text that becomes more than a request's line at a server, that fails where the
  # request is sent, or that takes away the request's deadline.
  Scenario Outline: A relayed request whose <part> is <odd> is refused
    Then a frame of a relayed request whose <part> is <odd> is refused

    Examples:
      | part    | odd                       |
      | method  | empty                     |
      | method  | two words                 |
      | method  | two lines                 |
      | method  | 201 letters               |
      | method  | no ASCII                  |
      | target  | empty                     |
      | target  | two words                 |
      | target  | two lines                 |
      | target  | beyond Latin-1            |
      | target  | 300000 letters            |
      | headers | 300000 letters            |
      | body    | 1048577 bytes             |
      | waited  | below zero                |

  # Guards against bounds that refuse what a daemon relays for its callers.
  Scenario Outline: A relayed request whose <part> is <usual> is read
    Then a frame of a relayed request whose <part> is <usual> is read as it was

    Examples:
      | part    | usual                     |
      | method  | 200 letters               |
      | target  | a path with bytes of Latin-1 |
      | target  | 60000 letters             |
      | headers | 60000 letters             |
      | body    | 1048576 bytes             |
      | waited  | zero                      |

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
