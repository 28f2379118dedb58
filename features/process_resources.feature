Feature: What a process needs from outside when it starts, reloads and serves

  # Guards against an entry router that ends because one of its ports is in use at its start.
  Scenario Outline: An entry router starts while its <kind> port is in use
    Given a router that ended, and another socket at its <kind> port
    When the router starts again, and after 1000 ms the port is free
    Then the router is ready within 3000 ms
    And it answers callers
    And it logged "listen_failed" 1 times, and "listening" 1 times

    Examples:
      | kind      |
      | callers   |
      | readiness |
      | metrics   |
      | peers     |
      | gossip    |

  # Guards against a busy port of one purpose that matters to another one.
  Scenario Outline: An entry router serves callers while its <kind> port stays in use
    Given a router that ended, and another socket at its <kind> port
    When the router starts again
    Then it answers callers
    And it logged "listen_failed" 1 times, and "listening" 0 times
    And a SIGTERM ends it with exit code 0

    Examples:
      | kind      |
      | readiness |
      | metrics   |
      | peers     |
      | gossip    |

  # Guards against a router that is taken for ready before callers can connect.
  Scenario: An entry router that cannot listen for callers is not ready
    Given a router that ended, and another socket at its callers port
    When the router starts again
    Then its readiness address answers 503 for 1500 ms
    And a SIGTERM ends it with exit code 0

  # Guards against an unexpected error in one request that ends the router with exit code 3.
  Scenario: An unexpected error while a request is served ends only its connection
    Given a router that fails unexpectedly in requests to "/check/faulty"
    When 3 requests to "/check/faulty" fail without an answer
    Then it answers callers
    And it logged "unhandled_error" 3 times, and "start" 1 times
    And a SIGTERM ends it with exit code 0
