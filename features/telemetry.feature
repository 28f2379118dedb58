Feature: Routers report metrics and logs, and keep to the rate limit of the weight store

  Scenario: Metrics and logs are written while the trace collector is unreachable
    Given a deployment that sends metrics to a statsd port and spans to an unreachable collector
    When 6 chats are sent through its router
    Then every response is complete
    And the metrics "chats.received", "first_token" and "version" arrive
    And each chat has a log line with request, chat, workspace, router and version
    And no log line holds a key or a token
    And the router ends with exit code 0

  Scenario: Orders that load weights stay within the rate limit of the weight store
    Given a deployment that sends metrics to a statsd port and spans to an unreachable collector
    When an operator orders 3 loads one after another
    Then the weight store served 3 and refused 0
    And the engine reports its cache events after a delay
