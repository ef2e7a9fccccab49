Feature: A call to a server ends when its caller stops waiting

  # Guards against a timeout without effect on a busy host: its cancellation comes in the same
  # event-loop iteration as a result, and the call goes on until its own timeouts.
  Scenario Outline: A timeout that expires together with <event> ends the call
    Given a server that answers with a head after 0.02 s, and then falls silent
    When a call with a timeout of 0.1 s finds its event loop busy until <event> has come
    Then the call ended with TimeoutError within 5 s

    Examples:
      | event          |
      | the connection |
      | the head       |
