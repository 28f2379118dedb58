Feature: Connections that show whether the process of an answer has lived on

  # Guards against an answer without a length that nothing can tell after a standstill, and against a
  # connection more for each answer with a length.
  Scenario Outline: After answers "<answers>" the next one <is expected> to need a second connection before it
    Given a router that has read answers "<answers>" of a service, each <gap> ms after the one before
    Then the next one <is expected> to need a second connection before it

    # chunks: an answer with a length or chunks; untold: one without, of a process that tells no start;
    # said: one of a process that says its start; asked: a request was sent, and its answer has not come.
    Examples:
      | answers             | gap   | is expected     |
      |                     | 0     | is expected     |
      | asked               | 0     | is not expected |
      | asked               | 1000  | is expected     |
      | chunks              | 10    | is not expected |
      | said                | 10    | is not expected |
      | asked chunks        | 2000  | is not expected |
      | untold              | 10    | is expected     |
      | chunks untold       | 10    | is expected     |
      | untold chunks       | 10    | is expected     |
      | untold chunks       | 20000 | is not expected |
      | untold untold       | 20000 | is expected     |

  Scenario Outline: <count> answers <form> of replicas that <tell> cost at most <most> connections
    Given a router before 1 replica whose answers are <form>
    And the replicas <tell> when they started
    When <count> requests to "/check/a" are sent to it in a row
    Then all are whole, and the replica has accepted at most <most> connections

    Examples:
      | form             | tell       | count | most |
      | with a length    | do not say | 20    | 2    |
      | with a length    | say        | 20    | 2    |
      | without a length | do not say | 20    | 40   |
      | without a length | say        | 20    | 40   |

  # Guards against a connection that is held, and made again and again, through an answer that needs none.
  Scenario: A stream in chunks of a replica that does not say when it started takes one connection from its first event on
    Given a router before 1 replica that does not say when it started, and sends streams in chunks for 3000 ms
    When a caller reads its stream of "/once/a"
    Then the caller has 6 events, and the stream is complete
    And from the first event on the replica has accepted no connection, and has 1 open at the last one
