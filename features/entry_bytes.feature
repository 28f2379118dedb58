Feature: Bytes from upstreams that are no response

  A faulty upstream may send bytes without end, or a byte now and then, until the router closes
  the connection.  The router's memory and time stay bounded, and its caller gets a true answer.

  Scenario Outline: An answer without end is cut off, and the router stays in service
    Given a router before a replica that sends "<bytes>" without end
    When a request to "<path>" with a deadline of 10000 ms is sent
    Then the replica's connection was closed within 1500 ms
    And the caller's response is not a complete success
    And the router's memory grew by at most 48 MB
    And the router answered each readiness check within 1000 ms

    Examples:
      | bytes                   | path      |
      | head line               | /redeem/a |
      | head                    | /redeem/a |
      | status line             | /redeem/a |
      | bytes that are not HTTP | /redeem/a |
      | interim responses       | /redeem/a |
      | body of another request | /redeem/a |
      | chunk header            | /redeem/a |
      | trailer                 | /redeem/a |
      | body without a length   | /redeem/a |
      | body of small chunks    | /redeem/a |
      | head line               | /chat/a   |
      | interim responses       | /chat/a   |
      | body of another request | /chat/a   |
      | event                   | /chat/a   |
      | lines of one event      | /chat/a   |
      | event                   | /once/a   |
      | event of small chunks   | /chat/a   |
      | trailer                 | /once/a   |

  # Guards against many connections that together use up the memory of the process, which ends the
  # requests of all others with it (first report of issue 37).
  Scenario Outline: <count> requests <kind> at once leave the router in service
    Given a router before a replica that sends "<bytes>" without end, and one that takes 300 ms
    When <count> requests to "<path>" with bodies of <size> bytes are sent at once
    Then the router's process used at most 300 MB
    And each request of them got <status>
    And the router answered each readiness check within 1000 ms

    Examples:
      | count | kind      | bytes | path      | size    | status   |
      | 60    | with 4 MB | event | /redeem/a | 4000000 | 200, 503 |
      | 8     | with 4 MB | event | /redeem/a | 4000000 | 200      |

  # Guards against the same from replicas, with 300 streams at once, and against incomplete events
  # that stay in memory while the failures of their streams are handled (issue 46).
  Scenario Outline: <count> streams of a replica that sends "<bytes>" leave the other callers served
    Given a router before a replica that sends "<bytes>" without end, and one that takes 300 ms
    When <count> requests to "/chat/a" with bodies of 10 bytes are sent at once, and 20 to "/redeem/a"
    Then the router's process used at most 300 MB
    And each request of them got 0, 502, 503
    And each of the others got 200

    Examples:
      | count | bytes              |
      | 300   | event              |
      | 300   | lines of one event |
      | 600   | event              |

  Scenario Outline: A stream that stalls while bytes still arrive is resumed elsewhere
    Given a router before a replica that sends "<bytes>" now and then, and a sound one
    When 4 requests to "/chat/a" with a deadline of 8000 ms are sent
    Then each caller got 6 events in order within 4000 ms

    Examples:
      | bytes               |
      | a byte of an event  |
      | a comment           |
      | an interim response |

  Scenario Outline: A slow but sound response is not cut
    Given a router before a replica that sends a slow body "<framing>"
    When a request to "<path>" with a deadline of 10000 ms is sent
    Then the caller got the whole body of 20480 bytes
    And the replica got 1 request

    Examples:
      | framing          | path      |
      | with a length    | /check/a  |
      | in chunks        | /check/a  |
      | without a length | /check/a  |
      | in chunks        | /redeem/a |

  Scenario: An answer that breaks off does not look complete to a caller of HTTP/1.0
    Given a router before a replica that breaks off a stream
    When an HTTP/1.0 caller sends a request to "/once/a"
    Then the caller's connection was reset

  Scenario Outline: The client of the own deployment cuts an answer without end
    Given a replica that sends "<bytes>" without end
    When the upstream client reads its <kind>
    Then it fails as "broken" within 1500 ms

    Examples:
      | bytes                 | kind     |
      | body without a length | response |
      | body of small chunks  | response |
      | event                 | stream   |
      | lines of one event    | stream   |
