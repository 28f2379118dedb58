Feature: Connections between routers and operator calls are authenticated, and frames are limited

  Scenario Outline: A call from a router with the keys "<client>" to one with "<server>" is <outcome>
    When a router with the keys "<client>" calls one with the keys "<server>"
    Then the call is <outcome>

    Examples:
      | client  | server  | outcome  |
      | old     | old     | answered |
      | old     | old,new | answered |
      | new,old | old     | answered |
      | new     | old,new | answered |
      | new     | old     | refused  |

  Scenario Outline: A call over TLS to a router with a certificate of <authority> is <outcome>
    When a router calls one over TLS whose certificate is of <authority>
    Then the call is <outcome>

    Examples:
      | authority          | outcome  |
      | the same authority | answered |
      | another authority  | refused  |

  Scenario Outline: A connection that sends <data> is closed and no other connection is affected
    When a connection sends <data>
    Then it is closed and the call of another router is answered

    Examples:
      | data                                              |
      | a frame length over the limit                     |
      | a frame that is no message                        |
      | a message before the handshake                    |
      | an incomplete frame                               |
      | a frame length over the limit after the handshake |

  Scenario Outline: The operator API refuses a call with <token>
    Given the small deployment
    When the operator API is called with <token>
    Then the status is 401

    Examples:
      | token          |
      | no token       |
      | a wrong token  |
      | an empty token |
