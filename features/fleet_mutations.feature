Feature: The fleet cases find programs with faults

  Scenario Outline: The case "<case>" finds a program with this fault: <mutation>
    When the fleet case "<case>" is run with seed 1 and the fault "<mutation>"
    Then an invariant was violated

    Examples:
      | mutation               | case                                                   |
      | no freshness check     | a router that is cut off stops while a zone leaves     |
      | one voter may vouch    | a router that is cut off stops while a zone leaves     |
      | no freshness check     | a minority without the store stops while a zone leaves |
      | no listing at takeover | a new admitter counts the chats that run already |
      | voters vote for anyone | the admitter is parted from the others                 |
      | one vote is enough     | the admitter is parted from the others                 |
      | restarted voter vouches | a voter that restarts during an acceptance does not vouch |
