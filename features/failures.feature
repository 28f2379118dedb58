Feature: Real processes under kills, freezes, cuts and outages

  Scenario: An engine dies while it streams; the caller gets the whole answer once
    Given a deployment of 3 routers and 3 engines
    When 12 chats of 60 tokens are streamed and an engine is killed meanwhile
    Then every answer is whole

  Scenario: A connection to an engine breaks; the stream goes on behind the last event
    Given a deployment of 3 routers and 3 engines
    When two engines each cut a stream after 5 tokens and 9 chats are sent
    Then every answer is whole

  Scenario: An engine answers with another request's id; its answer is dropped
    Given a deployment of 3 routers and 3 engines
    When one engine crosses its answers and 9 chats are sent
    Then every answer is whole

  Scenario: A request that crashes engines is refused before it takes a third
    Given a deployment of 3 routers and 3 engines
    When the poison request is sent 4 times through different routers
    Then at most 2 engines have crashed
    And the last refusal is "poisoned"
    And the engines are started again

  Scenario: The admitter is frozen; chats go on and it does no harm when it wakes
    Given a deployment of 3 routers and 3 engines
    When the admitter is frozen for 6 seconds while chats are sent to the others
    Then every answer is whole
    And after it wakes there is one admitter and no invariant was broken

  Scenario: A frozen router wakes after a zone went out and gives it no work
    Given a deployment of 3 routers and 3 engines
    When a router is frozen, a zone is taken out, and the router wakes with chats waiting
    Then no engine of the zone got a chat after it
    And the zone is taken in again

  Scenario: The platform is away; chats go on, marked calls are truly not run
    Given a deployment of 3 routers and 3 engines
    When the platform is away and chats and marked calls are sent
    Then every answer is whole
    And each marked call was refused as "not_run" and had no effect
    And the platform is back and a marked call has one effect

  Scenario: The platform loses the answer of a claim; the call has one effect
    Given a deployment of 3 routers and 3 engines
    When the platform loses 2 answers and a marked call is sent
    Then the call had one effect and its caller was told the truth

  Scenario: A plain service drops its answer; a marked call is unknown and never repeated
    Given a deployment of 3 routers and 3 engines
    When the service drops its answer and a marked call is sent twice
    Then both answers say "unknown" and the service counts one effect

  Scenario: A caller that leaves cancels its chat at the engine
    Given a deployment of 3 routers and 3 engines
    When a caller leaves in the middle of a stream
    Then the engine cancels it and the grant is given back

  Scenario: An engine turns cold without notice; it gets its ramp anew
    Given a deployment of 3 routers and 3 engines
    When an engine turns cold while chats are sent
    Then its limit fell back and no invariant was broken
    And every answer is whole

  Scenario: Routers are replaced one by one under load without a failed request
    Given a deployment of 3 routers and 3 engines
    When each router is restarted by SIGTERM while chats are sent
    Then every answer is whole
    And every router ended with exit code 0

  Scenario: A router is killed; chats through the others go on
    Given a deployment of 3 routers and 3 engines
    When the admitter is killed while chats are sent to the others
    Then every answer is whole
