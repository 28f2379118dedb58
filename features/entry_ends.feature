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
