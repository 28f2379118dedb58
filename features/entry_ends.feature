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
