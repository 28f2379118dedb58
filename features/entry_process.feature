Feature: Entry routers as processes before stand-ins of the platform

  Background:
    Given a store, two replicas of each service, and a router

  Scenario: A calm request of each kind is served
    Then a request to "/chat/a" is answered with 6 events
    And a request to "/redeem/a" is answered with 200
    And a request to "/check/a" is answered with 200
    And no replica saw the client's key

  Scenario Outline: A request that may not pass is refused
    Then a request to "<path>" with the key "<key>" is refused with <status>

    Examples:
      | path     | key   | status |
      | /none/a  | key-1 | 404    |
      | /check/a | wrong | 401    |

  Scenario Outline: What only the system sets does not pass from a client
    When a request to "/check/a" carries the field "<field>" as "<value>"
    Then the replica saw "<field>" as "<seen>"

    Examples:
      | field              | value       | seen |
      | x-tenant           | other       | w1   |
      | x-kv-retain        | abc         |      |
      | x-pin-ms           | 100         |      |
      | x-kv-backup        | 127.0.0.1:1 |      |
      | kv-from            | 127.0.0.1:1 |      |
      | x-request-priority | 0           |      |
      | x-own              | kept        | kept |

  Scenario Outline: Ambiguous or broken requests get 400 and reach nobody
    When the bytes of a "<kind>" request arrive
    Then the client gets 400 or a closed connection, and no replica ran anything

    Examples:
      | kind               |
      | two lengths        |
      | length and chunks  |
      | bad chunk          |
      | no id              |
      | space in the name  |

  Scenario: A stream goes on at the other replica where one breaks
    Given the replicas "lm-1" break streams after 3 events
    And the replicas "lm-2" break streams after 3 events
    When a request to "/chat/a" is sent
    Then the client got 6 events in order, each once
    And the second run began at event 4

  Scenario: A stream that may not be resumed breaks off visibly
    Given the replicas "lm-1,lm-2" break streams after 3 events
    When a request to "/once/a" is sent
    Then the answer is not whole
    And one run was made

  Scenario Outline: A request that may have run is not sent again, and is not said not to have run
    Given the replicas "till-1,till-2" misbehave as "<fault>"
    When a request to "/redeem/a" is sent
    Then the client got the status <status>
    And one run was made

    Examples:
      | fault         | status |
      | lose_response | 502    |
      | unsigned      | 502    |
      | encoded       | 502    |
      | errors        | 500    |

  Scenario: A replica that sheds has not run the request, and another one takes it
    Given the replicas "till-1,till-2" misbehave as "shed"
    When a request to "/redeem/a" is sent
    Then the client got the status 503
    And the answer tells when to come back
    And no run was made

  Scenario Outline: An idempotent request is repeated at another replica
    Given the replicas "<names>" misbehave as "<fault>"
    When 6 requests to "/check/a" are sent
    Then all are answered with 200

    Examples:
      | names  | fault         |
      | till-1 | lose_response |
      | till-1 | unsigned      |
      | till-1 | errors        |
      | till-1 | shed          |

  Scenario: An answer to another request never reaches a client
    Given the replicas "till-1,till-2" misbehave as "extra_response"
    When 12 requests to "/check/a" are sent
    Then all are answered with their own body

  Scenario: An answer without a length is whole when its connection ends in order
    Given the replicas "till-1,till-2" answer without a length
    When 4 requests to "/redeem/a" are sent
    Then all are answered with their own body

  Scenario: A replica at an address that another one held before does not run the request
    Given the entry of "till-1" says the name "till-9"
    When 6 requests to "/redeem/a" are sent
    Then all are answered with 200
    And the replica "till-1" ran nothing

  Scenario: The work ends when the client leaves
    Given the replicas "lm-1,lm-2" make an event each 300 ms
    When a client of "/chat/a" leaves after 500 ms
    Then the run was cancelled within 500 ms

  Scenario: A silent replica is given up, and the stream goes on elsewhere
    Given the replica that serves "/chat/a" falls silent and takes no connections after 2 events
    When a request to "/chat/a" is sent
    Then the client got 6 events in order, each once

  Scenario: A request that has no answer in its route's time is ended then
    Given the replicas "till-1,till-2" say nothing
    And routes end after 700 ms
    When a request to "/redeem/a" is sent
    Then the client got the status 504
    And it took 700 to 1200 ms

  Scenario: A configuration is in force within two seconds
    When the key "key-1" is replaced by "key-2"
    Then within 2000 ms a request to "/check/a" with the key "key-1" is refused with 401
    And a request to "/check/a" with the key "key-2" is refused with 200

  Scenario: A replica that drains gets nothing more within two seconds
    When the replica "till-1" is listed as draining
    Then after 2000 ms no request to "/redeem/a" reaches "till-1"

  Scenario: A zone that is emptied gets nothing more
    Given the replica "till-1" is in the zone "zb"
    When the zone "zb" is emptied
    Then after 2000 ms no request to "/redeem/a" reaches "till-1"

  Scenario Outline: Requests are served while the store is away
    When the store is "<fault>"
    Then for 2500 ms requests to "/check/a" are answered with 200
    When the store is well again
    And the key "key-1" is replaced by "key-2"
    Then within 4000 ms a request to "/check/a" with the key "key-1" is refused with 401

    Examples:
      | fault  |
      | silent |
      | reset  |
      | 503    |
      | 429    |

  Scenario: A history that is gone makes the router read all rows
    When the store forgets its history while a replica leaves
    Then after 2000 ms no request to "/redeem/a" reaches "till-1"

  Scenario: A router that the store refuses learns from the others
    Given a second router with a door of its own to the store
    When the store is "503" at the second door
    And the key "key-1" is replaced by "key-2"
    Then within 2000 ms the second router refuses the key "key-1" with 401

  Scenario: A stopped router ends what runs and takes nothing new
    Given the replicas "lm-1,lm-2" make an event each 400 ms
    When a request to "/chat/a" runs while the router is told to stop
    Then the client got 6 events in order, each once
    And the router was not ready at once and ended by itself within 8000 ms

  Scenario: A request that crashes its replicas is refused in the end
    Given the replicas "lm-1,lm-2,lm-3,lm-4,lm-5,lm-6" crash on "/chat/poison"
    When a request to "/chat/poison" is sent 6 times
    Then at most 4 replicas crashed
    And the last status is 503

  Scenario: Bad rows name no replica and harm nothing
    When rows that cannot be read are written
    Then for 1500 ms requests to "/check/a" are answered with 200
    And the log tells of rows that cannot be read

  Scenario: The metrics show what was served
    When 3 requests to "/check/a" are sent
    Then the metrics count 3 requests with the status 200

  Scenario: The tool shows the routers on the platform and what they believe
    When a configuration is written and the tool looks at the platform
    Then it shows that configuration in the store and at the router, and 4 upstreams

  Scenario: The tool tells of a platform that does not answer
    When the tool looks at a platform that is away
    Then it ends with exit code 7 and one line
