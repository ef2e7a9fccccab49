Feature: An answer that was cut off by the end of its connection is not taken for a smaller one

  # Guards against a part of an answer as the whole of it: an empty report as that of an engine
  # without runs, a listing without its last items, a write that is taken for another outcome.
  Scenario Outline: The answer to <call>, cut anywhere, is an error or means what the whole means
    Given a server whose answers have neither a length nor chunks
    Then the answer to "<call>", cut after each of its bytes, is an error or means the same

    Examples: of an engine
      | call                        |
      | engine load                 |
      | engine state                |
      | engine stream state         |
      | engine cache events         |
      | engine order                |
      | engine cancel               |
      | platform engine load        |
      | platform engine runs        |
      | platform engine without run |
      | platform engine move        |
      | platform engine no room     |
      | platform engine drop        |

    Examples: of the key-value service, the host list and daemons
      | call                        |
      | key get                     |
      | key list                    |
      | key watch                   |
      | key swap                    |
      | key swap conflict           |
      | key lease                   |
      | key lease renewed           |
      | key lease ended             |
      | key lease revoke            |
      | host list                   |
      | daemon page                 |

    Examples: of the platform's store
      | call                        |
      | store range                 |
      | store watch                 |
      | store lease                 |
      | store lease renewed         |
      | store lease ended           |
      | store put                   |
      | store put refused           |
      | store remove                |
      | store lease end             |
