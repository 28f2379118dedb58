Feature: Streams between routers are authenticated and bounded

  Scenario Outline: A router with <client> meets one with <server>: <outcome>
    When a router with keys "<client>" calls one with keys "<server>"
    Then the call is <outcome>

    Examples:
      | client  | server  | outcome  |
      | old     | old     | answered |
      | old     | old,new | answered |
      | new,old | old     | answered |
      | new     | old,new | answered |
      | new     | old     | refused  |

  Scenario Outline: Over TLS a certificate of <authority> is <outcome>
    When a router calls over TLS one whose certificate is of <authority>
    Then the call is <outcome>

    Examples:
      | authority         | outcome  |
      | the same authority  | answered |
      | another authority | refused  |

  Scenario Outline: <hostile> ends its connection only
    When a connection sends <hostile>
    Then it is closed and a good router is still answered

    Examples:
      | hostile                    |
      | a length over the limit    |
      | bytes that are no message  |
      | a message out of order     |
      | half a frame               |
      | a frame after the greeting that is over the limit |

  Scenario Outline: The operators' API refuses <token>
    Given the small deployment
    When the operators' API is called with <token>
    Then the status is 401

    Examples:
      | token          |
      | no token       |
      | a wrong token  |
      | an empty token |
