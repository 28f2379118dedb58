Feature: What the routers share holds under failure

  Scenario Outline: <case>
    When the fleet case "<case>" is run with seed <seed>
    Then no invariant was violated

    Examples:
      | seed | case                                                              |
      | 1    | a router that is cut off stops while a zone leaves                |
      | 1    | a minority without the store stops while a zone leaves            |
      | 1    | a store outage of a minute stops nothing                          |
      | 1    | a router cut from the store only goes on                          |
      | 1    | a majority without the store accepts nothing behind its back      |
      | 1    | the admitter dies                                                 |
      | 1    | the admitter dies while the store is away                         |
      | 1    | the admitter is parted from the others                            |
      | 1    | the admitter hands over as it leaves                              |
      | 1    | a new admitter counts the chats that run already                  |
      | 1    | a zone leaves and returns twice under load                        |
      | 1    | a lost answer of an acceptance is settled                         |
      | 1    | racing operators get one acceptance for each version              |
      | 1    | a voter that restarts during an acceptance does not vouch         |
      | 1    | a patch during an outage is refused and stops nobody              |
      | 1    | a router that starts during an outage learns from its peers       |
      | 1    | the whole fleet is replaced at once                               |
      | 1    | a dead router leaves the view and a restarted one returns         |
      | 1    | a wrong suspicion heals                                           |
      | 1    | a patch is in force everywhere within two seconds                 |
      | 1    | a router far behind loads snapshot and patches                    |
      | 1    | a refused placement has no grant                                  |
