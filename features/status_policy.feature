Feature: Status requests to replicas

  A status request asks a replica when its process started.  It costs the replica, so it is counted by
  its reason.

  # Guards against status requests that no metric shows, and against ones for requests that need none.
  Scenario Outline: <count> requests to "<path>" one after the other cost <connection> status requests for connections and <ends> for ends
    Given a router before 1 replica that says its start, whose answers end <framing>
    When <count> requests to "<path>" are sent one after the other
    Then the metrics count <connection> status requests for "connection"
    And the metrics count <ends> status requests for "answer_end"

    # A connection that is kept tells for all that comes on it.
    Examples:
      | path     | framing             | count | connection | ends |
      | /chat/a  | in chunks           | 1     | 1          | 0    |
      | /chat/a  | in chunks           | 5     | 1          | 0    |
      | /once/a  | in chunks           | 5     | 0          | 0    |
      | /check/a | in chunks           | 5     | 0          | 0    |
      | /check/a | with the connection | 2     | 0          | 2    |
