Feature: Ends of answers that could look complete

  A process that is killed ends its connections like one that is done.  An answer that ends with its
  connection must not look complete when it was broken off.

  # Guards against a router that is gone within a stream whose end is the end of the connection.
  Scenario Outline: An HTTP/1.0 caller does not take a stream for complete when its router <ending>
    Given a router before a replica that sends <events> events, one each 40 ms
    When an HTTP/1.0 caller reads a stream of "/once/a", and after 5 events the router <ending>
    Then the caller's connection was reset

    Examples:
      | ending               | events |
      | is killed            | 200    |
      | reaches a drain's end | 400    |

  Scenario: An HTTP/1.0 caller gets a whole stream with an orderly end
    Given a router before a replica that sends 6 events, one each 10 ms
    When an HTTP/1.0 caller sends a request to "/once/a"
    Then the HTTP/1.0 caller got 6 events and the end of the connection

  # Guards against a second run of a stream that is joined to the first one by its caller.
  Scenario Outline: A request to "<path>" with the last event id <last> gets <status>
    Given a router before a replica that sends 6 events, one each 10 ms
    When a request to "<path>" with the last event id <last> is sent
    Then it gets the status <status> and the events "<events>"

    Examples:
      | path    | last | status | events      |
      | /once/a | 2    | 409    |             |
      | /once/a | 0    | 200    | 1 2 3 4 5 6 |
      | /chat/a | 2    | 200    | 3 4 5 6     |
      | /chat/a | 6    | 200    |             |

  # Guards against runs that are joined behind an event that no run can go on from.
  Scenario Outline: A stream that breaks off after "<events>" <result>
    Given a router before 2 replicas that break off a stream after "<events>"
    When a request to "/chat/a" is sent to them
    Then the caller got events "<got>", and the answer <result>

    # A number is an event with that id, x one without an id, c a comment.
    Examples:
      | events | got           | result                 |
      | 1 2    | 1 2 3 4 5 6   | is complete            |
      | c      | c 1 2 3 4 5 6 | is complete            |
      | x      | x             | is not complete        |
      | 1 2 x  | 1 2 x         | is not complete        |
      | 1 x 2  | 1 x 2 3 4 5 6 | is complete            |

  # Guards against an answer that only its connection ends and that looks whole, as its end is read
  # long after its process has ended and another one serves at its address (issue 43).
  Scenario Outline: A caller that pauses gets <path> from replicas that send <sent> events, and then <ending>; they <tell>
    Given a router before 2 replicas that send <sent> of 12 large events without a length, and then <ending>
    And the replicas <tell> when they started
    When a caller reads a stream of "<path>", with a pause of 2500 ms after its first bytes
    Then the paused caller got <got> events, and the answer <result>

    Examples:
      | path     | sent | ending                                  | tell        | got | result          |
      | /once/a  | 10   | crash, and accept connections as before | say         | 10  | is not complete |
      | /once/a  | 10   | crash, and accept connections as before | do not say  | 10  | is not complete |
      | /chat/a  | 10   | crash, and accept connections as before | say         | 12  | is complete     |
      | /chat/a  | 10   | crash, and accept connections as before | do not say  | 12  | is complete     |
      | /once/a  | 12   | close the connection                    | say         | 12  | is complete     |
      | /once/a  | 12   | close the connection                    | do not say  | 12  | is complete     |
      | /chat/a  | 12   | close the connection                    | say         | 12  | is complete     |
      | /check/a | 10   | crash, and accept connections as before | say         | 10  | is not complete |
      | /check/a | 12   | close the connection                    | say         | 12  | is complete     |
      | /check/a | 12   | close the connection                    | do not say  | 12  | is complete     |
      | /check/a | 12   | close the connection                    | say a start later than their entries' | 12  | is complete     |

  # Guards against a second connection that is made late, and so to the next process: the router stands
  # still while the answer comes and its process ends.
  Scenario Outline: A router that stands still gets an answer without a length from a replica that <ending>
    Given a router before 2 replicas that send <sent> of 12 large events without a length, and then <ending>
    And the replicas <tell> when they started
    And the router stands still for <span> ms as a replica answers
    When a caller reads a stream of "<path>", with a pause of 0 ms after its first bytes
    Then the paused caller got <sent> events, and the answer <result>

    Examples:
      | path     | sent | ending                                  | tell       | span | result          |
      | /once/a  | 10   | crash, and accept connections as before | do not say | 1000 | is not complete |
      | /once/a  | 12   | close the connection                    | do not say | 1000 | is not complete |
      | /check/a | 10   | crash, and accept connections as before | do not say | 1000 | is not complete |
      | /check/a | 12   | close the connection                    | do not say | 1000 | is complete     |
      | /check/a | 10   | crash, and accept connections as before | say        | 1000 | is not complete |
      | /check/a | 12   | close the connection                    | say        | 1000 | is complete     |
      | /check/a | 10   | crash, and accept connections as before | say        | 300  | is not complete |

  # Guards against a second connection that is made after a standstill, where answers had lengths before.
  Scenario: A router that has read answers with a length stands still, and gets one without from a replica that crashes
    Given a router before 2 replicas that send 10 of 12 large events without a length, and then crash, and accept connections as before
    And the replicas do not say when they started
    And the router has read an answer of "/check/a" with a length before
    And the router stands still for 1000 ms as a replica answers
    When a caller reads a stream of "/check/a", with a pause of 0 ms after its first bytes
    Then the paused caller got 10 events, and the answer is not complete

  # Guards against a whole answer that counts as broken off, as its process falls silent for a time that
  # is tolerated just as the answer has ended, and against an early end that looks complete after that.
  Scenario Outline: An answer to <path> with <sent> events of replicas that then <ending>, and are silent for <span> ms, <result>; they <tell>
    Given a router before 2 replicas that send <sent> of 12 events without a length, <ending>, and are silent for <span> ms
    And the replicas <tell> when they started
    When a request to "<path>" is sent to them, and its answer is awaited
    Then the answer to that request has <sent> events, <result>, and is over after at most <most> ms

    Examples: A silence that is tolerated
      | path      | sent | ending               | span | tell       | result      | most |
      | /once/a   | 12   | close the connection | 1000 | say        | is complete | 2000 |
      | /once/a   | 12   | close the connection | 1300 | say        | is complete | 2000 |
      | /once/a   | 12   | close the connection | 1300 | do not say | is complete | 2000 |
      | /chat/a   | 12   | close the connection | 1000 | say        | is complete | 2000 |
      | /chat/a   | 12   | close the connection | 1300 | say        | is complete | 2000 |
      | /chat/a   | 12   | close the connection | 1300 | do not say | is complete | 2000 |
      | /check/a  | 12   | close the connection | 1000 | say        | is complete | 2000 |
      | /check/a  | 12   | close the connection | 1300 | say        | is complete | 2000 |
      | /check/a  | 12   | close the connection | 1300 | do not say | is complete | 2000 |
      | /redeem/a | 12   | close the connection | 1300 | say        | is complete | 2000 |
      | /redeem/a | 12   | close the connection | 1300 | do not say | is complete | 2000 |

    Examples: A process that hangs for good, or is gone while its listener accepts
      | path      | sent | ending                                  | span  | tell       | result          | most |
      | /once/a   | 10   | close the connection                    | 60000 | say        | is not complete | 2000 |
      | /redeem/a | 10   | close the connection                    | 60000 | do not say | is not complete | 2000 |
      | /once/a   | 10   | crash, and accept connections as before | 1000  | say        | is not complete | 2000 |
      | /once/a   | 10   | crash, and accept connections as before | 1000  | do not say | is not complete | 2000 |
      | /redeem/a | 10   | crash, and accept connections as before | 1300  | say        | is not complete | 2000 |
      | /redeem/a | 10   | crash, and accept connections as before | 1300  | do not say | is not complete | 2000 |
      | /redeem/a | 10   | crash                                   | 1300  | say        | is not complete | 500  |
      | /once/a   | 10   | crash                                   | 1300  | do not say | is not complete | 500  |

  # Guards against a whole stream whose caller gets its end when it has given up, or not at all, as the
  # run that is to confirm it waits in a queue.
  Scenario: The end of a whole stream without a length is not held back by a run that waits
    Given a router before a replica that ends whole streams with their connection, and lets resumed ones wait
    When a stream is sent to it, beside others that it serves
    Then the caller has all events, and their end after at most 2000 ms

  # Guards against whole streams that leave no retry to those that break off.
  Scenario Outline: 10 streams that break off are resumed after 60 whole streams that <ending>, each with at most 3 tries
    Given a router before 2 replicas whose whole streams <ending>
    When 60 whole streams and then 10 that break off are sent to them
    Then all 10 are complete

    Examples:
      | ending                   |
      | have chunks              |
      | end with the connection  |
