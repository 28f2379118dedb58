Feature: A deployment of processes that are killed, frozen or return faulty responses

  Scenario: A chat whose engine is killed while it streams gets a complete response once
    Given a deployment of 3 routers and 3 engines
    When 12 chats of 60 tokens are streamed and a busy engine is killed
    Then every response is complete

  Scenario: A stream whose connection breaks is resumed after its last event
    Given a deployment of 3 routers and 3 engines
    When two engines each break a stream after 5 tokens and 9 chats are sent
    Then every response is complete

  Scenario: An engine's response with another request's id is not forwarded
    Given a deployment of 3 routers and 3 engines
    When one engine responds with another request's id and 9 chats are sent
    Then every response is complete

  Scenario: A request that crashes engines is refused before it crashes a third one
    Given a deployment of 3 routers and 3 engines
    When a poison request is sent 4 times through different routers
    Then at most 2 engines have crashed
    And the last error is "poisoned"
    And the crashed engines are restarted

  Scenario: Chats continue while the admitter is frozen, and there is one admitter after it resumes
    Given a deployment of 3 routers and 3 engines
    When the admitter is frozen for 6 seconds while chats are sent to the others
    Then every response is complete
    And after it resumes there is one admitter and no invariant was violated

  Scenario: A router that was frozen while a zone was taken out sends it no chats
    Given a deployment of 3 routers and 3 engines
    When a router is frozen, a zone is taken out, and the router resumes with pending chats
    Then no engine of the zone got a chat after the router resumed
    And the zone is taken in again

  Scenario: Chats continue while the platform is unavailable, and non-idempotent requests are not run
    Given a deployment of 3 routers and 3 engines
    When the platform is unavailable and chats and non-idempotent requests are sent
    Then every response is complete
    And each non-idempotent request was refused as "not_run" and had no effect
    And once the platform is available a non-idempotent request has one effect

  Scenario: A request whose claim is written but not acknowledged has at most one effect
    Given a deployment of 3 routers and 3 engines
    When the platform loses 2 answers and a non-idempotent request is sent
    Then the response agrees with the number of effects of the request

  Scenario: A non-idempotent request without a response from its service is not retried
    Given a deployment of 3 routers and 3 engines
    When the service drops its response and a non-idempotent request is sent twice
    Then both responses say "unknown" and the service counts one effect

  # Guards against a crash that is not counted, as the engine is back when its router reads that the stream broke.
  Scenario: The crash of an engine is counted by a router that stood still until the engine was back
    Given a deployment of 3 routers and 3 engines
    When an engine is killed and restarted in the middle of a stream while its router stands still
    Then every response is complete
    And the router has counted one crash

  # Guards against a cancellation by the deadline that strikes outside of the stream and breaks its connection.
  Scenario: Streams whose router is frozen past their deadline end with an error event
    Given a deployment of 3 routers and 3 engines
    When a router is frozen past the deadline of 6 streams
    Then every stream ends with the error "deadline"

  # Guards against "not run" for a call that was sent and that no other upstream could take.
  Scenario: A call whose only upstream fails after it was sent is not refused as not run
    Given a deployment of 3 routers and 3 engines
    When the service drops its response and an idempotent call is sent
    Then the call failed as "upstream_failed" with run "ran"

  Scenario: The chat of a caller that disconnects is cancelled at the engine
    Given a deployment of 3 routers and 3 engines
    When a caller disconnects in the middle of a stream
    Then the engine cancels it and the grant is released

  Scenario: An engine that turns cold restarts its ramp
    Given a deployment of 3 routers and 3 engines
    When an engine turns cold while chats are sent
    Then no invariant was violated after the ramp restarted
    And every response is complete

  Scenario: Routers are restarted one by one under load without a failed request
    Given a deployment of 3 routers and 3 engines
    When each router is restarted by SIGTERM while chats are sent
    Then every response is complete
    And every router ended with exit code 0

  Scenario: Chats through the other routers continue after the admitter is killed
    Given a deployment of 3 routers and 3 engines
    When the admitter is killed while chats are sent to the others
    Then every response is complete
