Feature: Builds of two landings run side by side

  # Guards against messages that a daemon of the landing before cannot read, or that this build
  # cannot read of it: machines are replaced one after the other.
  Scenario Outline: Frames of <landing> are read, and new ones differ by fields at the end only
    Then each frame of "<landing>" is read as the message that it was
    And each message's frame still begins as in "<landing>"
    And each field that is newer than "<landing>" has a default

    Examples:
      | landing    |
      | landing-9  |
      | landing-11 |
