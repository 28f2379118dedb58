Feature: Entry routers as processes in front of stand-ins for the platform

  Background:
    Given a store, two replicas of each service, and a router

  Scenario: A request of each route type is served
    Then a request to "/chat/a" is answered with 6 events
    And a request to "/redeem/a" is answered with 200
    And a request to "/check/a" is answered with 200
    And no replica received the caller's key

  Scenario Outline: A request without a route or a valid key is refused
    Then a request to "<path>" with the key "<key>" gets the status <status>

    Examples:
      | path     | key   | status |
      | /none/a  | key-1 | 404    |
      | /check/a | wrong | 401    |

  # Guards against routes that are open to anybody once the last key is taken away (review/1).
  Scenario Outline: A request with the key "<key>" after <change> gets the status <status>
    When the operator writes a configuration with <change>
    Then a request to "/check/a" with the key "<key>" gets the status <status>

    Examples:
      | change                          | key   | status |
      | a tenant without keys           | key-1 | 401    |
      | a tenant without keys           | wrong | 401    |
      | an empty list of tenants        | wrong | 401    |
      | a tenant with an empty key      |       | 401    |
      | no field for tenants            | wrong | 200    |
      | "false" for an anonymous route  | wrong | 401    |
      | a split of which no part counts | key-1 | 503    |

  Scenario Outline: Header fields that only the platform may set are not passed on from callers
    When a request to "/check/a" has the header field "<field>" with the value "<value>"
    Then the replica received "<field>" with the value "<received>"

    Examples:
      | field              | value       | received |
      | x-tenant           | other       | w1       |
      | x-kv-retain        | abc         |          |
      | x-pin-ms           | 100         |          |
      | x-kv-backup        | 127.0.0.1:1 |          |
      | kv-from            | 127.0.0.1:1 |          |
      | x-request-priority | 0           |          |
      | x-own              | kept        | kept     |

  Scenario Outline: Ambiguous or malformed requests get 400 and reach no replica
    When the bytes of a request with "<defect>" arrive
    Then the caller gets 400 or a closed connection, and no replica ran a request

    Examples:
      | defect                    |
      | two content lengths       |
      | content length and chunks |
      | invalid chunk size        |
      | no request id             |
      | space after a field name  |

  Scenario: A stream that breaks off is resumed at the other replica
    Given the replicas "lm-1" break off streams after 3 events
    And the replicas "lm-2" break off streams after 3 events
    When a request to "/chat/a" is sent
    Then the caller got 6 events in order, each once
    And the second run began at event 4
    And the log names the events "1-3 4-6" of its attempts, ended by chunks

  Scenario: A stream that breaks off and may not be resumed ends incomplete
    Given the replicas "lm-1,lm-2" break off streams after 3 events
    When a request to "/once/a" is sent
    Then the response is incomplete
    And the request ran once

  Scenario Outline: A request that may have run is not retried, and its status does not say that it has not run
    Given the replicas "till-1,till-2" have the fault "<fault>"
    When a request to "/redeem/a" is sent
    Then the caller got the status <status>
    And the request ran once

    Examples:
      | fault         | status |
      | lose_response | 502    |
      | unsigned      | 502    |
      | encoded       | 502    |
      | errors        | 500    |

  # Guards against a replica's own status that a caller takes for the promise that its request did not
  # run, so that it sends it once more (review/2).
  Scenario Outline: A replica's status <status> after running a request to "<path>" promises nothing
    Given the replicas "till-1,till-2" run requests and answer <status>
    When a request to "<path>" is sent
    Then the caller got the status <answered>
    And each replica ran it once at most

    Examples:
      | path      | status | answered |
      | /redeem/a | 408    | 502      |
      | /redeem/a | 429    | 502      |
      | /redeem/a | 503    | 502      |
      | /redeem/a | 404    | 404      |
      | /check/a  | 429    | 429      |
      | /check/a  | 503    | 503      |

  Scenario: A request that all replicas shed has not run and gets 503 with a retry delay
    Given the replicas "till-1,till-2" have the fault "shed"
    When a request to "/redeem/a" is sent
    Then the caller got the status 503
    And the response says when to retry
    And the request did not run

  Scenario Outline: An idempotent request is retried at another replica
    Given the replicas "<names>" have the fault "<fault>"
    When 6 requests to "/check/a" are sent
    Then all are answered with 200

    Examples:
      | names  | fault         |
      | till-1 | lose_response |
      | till-1 | unsigned      |
      | till-1 | errors        |
      | till-1 | shed          |

  Scenario: A response to another request never reaches a caller
    Given the replicas "till-1,till-2" have the fault "extra_response"
    When 12 requests to "/check/a" are sent
    Then all are answered with their own body

  Scenario: A response without a length is complete if its connection is closed in order
    Given the replicas "till-1,till-2" respond without a length
    When 4 requests to "/redeem/a" are sent
    Then all are answered with their own body

  Scenario: A replica does not run requests for another replica name at its address
    Given the address of "till-1" is listed under the name "till-9"
    When 12 requests to "/redeem/a" are sent
    Then all are answered with 200
    And the replica "till-1" ran no request

  # Guards against requests of a router of another test that a replica runs, since it has got the port
  # of a replica that was stopped there (issue 40).
  Scenario: No other test process gets the port of a stopped replica
    When the replica "till-1" is stopped
    Then no other test process gets its port
    When it is started again
    Then a request to "/redeem/a" reaches it within 8000 ms

  Scenario: A run is cancelled when its caller disconnects
    Given the replicas "lm-1,lm-2" send an event every 300 ms
    When a caller of "/chat/a" disconnects after 500 ms
    Then the run was cancelled within 500 ms

  Scenario: The stream of a silent replica is resumed at another one
    Given the replica that serves "/chat/a" goes silent and refuses connections after 2 events
    When a request to "/chat/a" is sent
    Then the caller got 6 events in order, each once

  Scenario: A replica that falls silent under a request that must not repeat gets no others
    Given the replica "till-1" has open connections, falls silent and refuses new ones
    When a request to "/redeem/a" is at "till-1" for 950 ms
    Then 8 requests to "/redeem/a" are answered with 200 and reach "till-1" no more
    And the request at "till-1" was not ended

  Scenario: A request without a response ends at the timeout of its route
    Given the replicas "till-1,till-2" do not respond
    And all routes have a timeout of 700 ms
    When a request to "/redeem/a" is sent
    Then the caller got the status 504
    And it took 700 to 1200 ms

  Scenario: A configuration is in effect within two seconds
    When the key "key-1" is replaced by "key-2"
    Then within 2000 ms a request to "/check/a" with the key "key-1" gets the status 401
    And a request to "/check/a" with the key "key-2" gets the status 200

  Scenario: A draining replica gets no requests after two seconds
    When the replica "till-1" is listed as draining
    Then after 2000 ms no request to "/redeem/a" reaches "till-1"

  # Guards against requests to a replica that has said in its answers that it leaves.
  Scenario Outline: A replica that says in an answer that it leaves gets no more requests
    Given the replica "till-1" says in all answers that it leaves
    When the store has the fault "<fault>"
    And 8 requests to "/check/a" are sent
    Then all are answered with 200
    And the replica "till-1" ran at most 1 requests

    Examples:
      | fault  |
      | none   |
      | silent |

  # Guards against requests to a replica that has asked this router to wait.
  Scenario: A replica that turns a request away and asks to wait gets no requests meanwhile
    Given the replicas "till-1" shed requests and want none for 2.5 s
    When 12 requests to "/check/a" are sent, one each 150 ms
    Then all are answered with 200
    And the replica "till-1" turned 1 requests away
    When the replicas "till-1" shed no more requests
    Then within 3500 ms a request to "/check/a" reaches "till-1"

  Scenario: A caller is told when to come back if all replicas ask to wait
    Given the replicas "till-1,till-2" shed requests and want none for 3.0 s
    When 4 requests to "/check/a" are sent
    Then all are refused at once with a Retry-After of 1500 to 4500 ms
    And the replica "till-1" turned 1 requests away

  Scenario: An evacuated zone gets no requests after two seconds
    Given the replica "till-1" is in the zone "zb"
    When the zone "zb" is evacuated
    Then after 2000 ms no request to "/redeem/a" reaches "till-1"

  Scenario Outline: Requests are served while the store is unavailable
    When the store has the fault "<fault>"
    Then for 2500 ms requests to "/check/a" are answered with 200
    When the store works again
    And the key "key-1" is replaced by "key-2"
    Then within 4000 ms a request to "/check/a" with the key "key-1" gets the status 401

    Examples:
      | fault  |
      | silent |
      | reset  |
      | 503    |
      | 429    |

  Scenario: A router reads all rows if the store has dropped its history
    When the store drops its history while a replica is removed
    Then after 2000 ms no request to "/redeem/a" reaches "till-1"

  Scenario: A router that the store refuses gets rows from other routers
    Given a second router with a store endpoint of its own
    When the second store endpoint has the fault "503"
    And the key "key-1" is replaced by "key-2"
    Then within 2000 ms the second router refuses the key "key-1" with 401

  Scenario: A router that shuts down completes running requests and is not ready
    Given the replicas "lm-1,lm-2" send an event every 400 ms
    When a request to "/chat/a" runs while the router gets SIGTERM
    Then the caller got 6 events in order, each once
    And the router was not ready after SIGTERM and exited within 8000 ms

  # Guards against requests that a stopping router takes late and then cuts off.
  Scenario Outline: A request of up to 8 s that reaches a stopping router after <late> ms
    Given all routes have a timeout of 8000 ms
    And the replicas "lm-1,lm-2" send an event every 1100 ms
    And requests to "till-1,till-2" take <takes> ms
    When a request to "/redeem/a" arrives <late> ms after SIGTERM, while a stream runs
    Then the late request got the status <status>
    And the request to "/redeem/a" ran <runs> times

    Examples:
      | late | takes | status | runs |
      | 2300 | 1000  | 200    | 1    |
      | 2700 | 5500  | 503    | 0    |

  Scenario: A request that crashes replicas is refused after a few crashes
    Given the replicas "lm-1,lm-2,lm-3,lm-4,lm-5,lm-6" crash on "/chat/poison"
    When a request to "/chat/poison" is sent 6 times
    Then at most 4 replicas crashed
    And the last status is 503

  Scenario: Invalid rows are logged and ignored
    When invalid rows are written
    Then for 1500 ms requests to "/check/a" are answered with 200
    And the log names the invalid rows

  Scenario: The metrics count served requests
    When 3 requests to "/check/a" are sent
    Then the metrics count 3 requests with the status 200

  Scenario: The fleet command shows the state of the store and of the routers
    When a configuration is written and the fleet command queries the platform
    Then it shows that configuration in the store and at the router, and 4 upstreams

  Scenario: The fleet command reports a platform that does not answer
    When the fleet command queries a platform that is unavailable
    Then it exits with the code 7 and one line of errors
