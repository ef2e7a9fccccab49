Feature: A link that closes in the middle of a relayed answer breaks the answer off

  # Guards against the end of a link that is taken for the end of the answer which it carried, and
  # against a caller who waits for parts that cannot come: the link may be open again at once.
  Scenario Outline: The link closes at <part> of an answer, whose <lost> is lost, and <then>
    Given a daemon that serves a relayed answer of 5 parts
    And the link closes at part <part> of the answer, whose <lost> is lost, and <then>
    When the answer is relayed
    Then within 3 s the caller has an answer that broke off, or the refusal "relay_lost"

    Examples:
      | part | lost    | then          |
      | 1    | message | opens again   |
      | 1    | answer  | opens again   |
      | 3    | message | opens again   |
      | 3    | answer  | opens again   |
      | 6    | message | opens again   |
      | 1    | message | stays closed  |
      | 3    | message | stays closed  |
      | 3    | answer  | stays closed  |
      | 6    | message | stays closed  |
      | 3    | message | opens later   |
      | 3    | answer  | opens later   |

  # Guards against whole answers that are called broken.
  Scenario: The link closes once the last part has come, and its answer is lost
    Given a daemon that serves a relayed answer of 5 parts
    And the link closes at part 6 of the answer, whose answer is lost, and opens again
    When the answer is relayed
    Then within 3 s the caller has the whole answer
