Feature: Answers of faulty upstreams that could be taken for something else

  A refusal that was written twice, an error in place of the rest of a stream, or a head that
  breaks off must not reach a caller as the answer to its request.

  # Guards against a refusal written once more, which says of the next request that it did not run.
  Scenario Outline: A refusal that is written once more is not the answer to a later request
    Given a router before 1 replica that writes its last refusal <copy> before its next answer
    When 6 requests to "<path>" are sent to it, one after the other
    Then each request ran at most once, and none that ran was answered as not run

    Examples:
      | copy                  | path      |
      | with the earlier id   | /redeem/a |
      | without an id         | /redeem/a |
      | with the earlier id   | /check/a  |
      | without an id         | /check/a  |

  # Guards against an error's text in the middle of a stream, or a cut stream that looks complete.
  Scenario Outline: The answer to an attempt to resume a stream is no part of it unless it goes on
    Given a router before 2 replicas that break off a stream after 2 events and resume with "<answer>"
    When a request to "/chat/a" is sent to them
    Then the caller got exactly the first 2 events, and the answer is not complete

    Examples:
      | answer                       |
      | 500                          |
      | 404                          |
      | 503 without a promise        |
      | 200 with an error in JSON    |
      | 200 with a text              |
      | 200 with events without ids  |
      | 204                          |
      | a head within the body       |
      | a long error                 |

  # Guards against a head that breaks off, which would be taken as an empty or a short answer.
  Scenario Outline: A head that breaks off is no answer
    Given a router before 1 replica that closes after "<head>"
    When a request to "<path>" is sent to them
    Then the caller's answer is an error or not complete

    Examples:
      | head                                         | path      |
      | HTTP/1.1 2                                   | /redeem/a |
      | HTTP/1.1 200 OK                              | /redeem/a |
      | HTTP/1.1 200 OK\r\n                          | /redeem/a |
      | HTTP/1.1 200 OK\r\nx-attempt-id: %s\r\n      | /redeem/a |
      | SIGNED                                       | /redeem/a |
      | SIGNED                                       | /check/a  |
      | SIGNED                                       | /chat/a   |
      | SIGNED                                       | /once/a   |
      | SIGNEDcontent-length: 5                      | /redeem/a |
      | SIGNEDcontent-length: 0\r\n                  | /check/a  |
      | SIGNEDtransfer-encoding: chunked\r\n         | /once/a   |
      | SIGNED\r                                     | /once/a   |

  # Guards against an upstream's crash that ends an answer without a length as if it were whole, and
  # against a whole one that is cut off.
  Scenario Outline: An answer that ends with its connection is whole only if its upstream lives
    Given a router before 2 replicas whose answer without a length has <content>, and then <ending>
    When a request to "<path>" is sent to them
    Then the caller's answer is <result>

    Examples:
      | content             | ending                                    | path      | result              |
      | 2 events            | crash, and refuse connections 5 ms later  | /once/a   | not complete        |
      | 2 events            | crash, and refuse connections 50 ms later | /once/a   | not complete        |
      | 2 events            | crash, and refuse connections 50 ms later | /chat/a   | resumed to 6 events |
      | 2 events            | crash, and accept connections as before   | /once/a   | not complete        |
      | 2 events            | crash, and accept connections as before   | /chat/a   | resumed to 6 events |
      | a body              | crash, and refuse connections 50 ms later | /redeem/a | an error            |
      | a body              | crash, and accept connections as before   | /redeem/a | an error            |
      | 6 events            | close the connection                      | /once/a   | complete            |
      | 6 events            | close the connection                      | /chat/a   | complete            |
      | 6 events, and no more runs | close the connection               | /chat/a   | complete            |
      | 2 events, then the rest alike | crash                           | /chat/a   | resumed to 6 events |
      | 2 events            | close the connection                      | /chat/a   | resumed to 6 events |
      | no event            | close the connection                      | /chat/a   | resumed to 6 events |
      | no event, and no more runs | close the connection               | /chat/a   | an error            |
      | 2 events, and further runs are reset | close the connection     | /chat/a   | not complete        |
      | 2 events and a part | close the connection                      | /once/a   | not complete        |
      | 2 events            | reset the connection                      | /once/a   | not complete        |
      | 2 events            | crash                                     | /once/a   | not complete        |
      | 2 events            | crash                                     | /chat/a   | resumed to 6 events |
      | a body              | close the connection                      | /redeem/a | complete            |
      | a body              | reset the connection                      | /redeem/a | an error            |
      | a body              | crash                                     | /redeem/a | an error            |
