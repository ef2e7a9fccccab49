Feature: No frame harms more than itself

  # Guards against frames that fail where they are used, in a handler, a loop or a log line, and
  # against errors of the decoder that its callers do not expect.
  Scenario: Whatever bytes a frame consists of, it is refused or it is a sound message
    Then 1000 random frames are refused or decoded into values of their fields' types
    And 1000 altered frames are refused or decoded into values of their fields' types
