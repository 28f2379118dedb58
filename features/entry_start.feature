Feature: Requests at a router that has just started

  After a stop of the whole fleet, callers reach routers that know no configuration yet.  Each
  caller has few attempts, so a request waits for the configuration for a part of its time.

  Scenario Outline: All return after an outage of routers and store
    Given a router that starts while the store has the fault "<fault>"
    When 20 requests to "<path>" arrive and the store is back after 400 ms
    Then all of them are answered with 200
    And each ran once

    Examples:
      | fault  | path      |
      | reset  | /redeem/a |
      | 503    | /redeem/a |
      | reset  | /chat/a   |

  Scenario: A request that cannot be served within a quarter of its deadline gets a Retry-After
    Given a router that starts while the store has the fault "reset"
    When 4 requests to "/redeem/a" arrive and the store stays away
    Then all of them are refused with 503 after 900 to 1600 ms
    And each Retry-After is at most a third of the time left

  Scenario: A caller with much time is not held for long by a router that cannot serve it
    Given a router that starts while the store has the fault "reset"
    When a request to "/redeem/a" with a deadline of 60000 ms arrives and the store stays away
    Then all of them are refused with 503 after 2800 to 3600 ms
