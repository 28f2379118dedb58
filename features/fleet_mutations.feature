Feature: The fleet cases detect mutations of the code

  Scenario Outline: The case "<case>" detects the mutation "<mutation>"
    When the fleet case "<case>" is run with seed 1 and the mutation "<mutation>"
    Then an invariant was violated

    Examples:
      | mutation                | case                                                         |
      | no freshness check      | an isolated router stops while a zone is taken out           |
      | one voter may vouch     | an isolated router stops while a zone is taken out           |
      | no freshness check      | a minority without the store stops while a zone is taken out |
      | no listing at takeover  | a new admitter counts the running chats                      |
      | voters vote for anyone  | an isolated admitter is replaced                             |
      | one vote is enough      | an isolated admitter is replaced                             |
      | restarted voter vouches | a voter that restarts during an acceptance does not vouch    |
