Feature: Logs, metrics and spans, and what is away slows nothing

  Scenario: Metrics arrive by statsd, log lines carry ids, no collector is needed
    Given a deployment that reports to a statsd port and to a collector that is away
    When 6 chats are sent through its router
    Then every answer is whole
    And the metrics "chats.received", "first_token" and "version" arrive
    And each chat has a log line with request, chat, workspace, router and version
    And no log line holds a key or a token
    And the router ends with exit code 0

  Scenario: Orders to load weights keep within the weight store's rate
    Given a deployment that reports to a statsd port and to a collector that is away
    When an operator orders 3 loads one after another
    Then the weight store served 3 and refused 0
    And the engine tells its cache events late
