Feature: A fleet of routers keeps its invariants under failures

  Scenario Outline: <case>
    When the fleet case "<case>" is run with seed <seed>
    Then no invariant was violated

    Examples:
      | seed | case                                                              |
      | 1    | an isolated router stops while a zone is taken out                |
      | 1    | a minority without the store stops while a zone is taken out      |
      | 1    | every router stays fresh in a store outage of a minute            |
      | 1    | a router that cannot reach the store stays fresh                  |
      | 1    | a majority without the store does not work on an old version      |
      | 1    | a killed admitter is replaced                                     |
      | 1    | a killed admitter is replaced in a store outage                   |
      | 1    | an isolated admitter is replaced                                  |
      | 1    | an isolated admitter stays replaced                               |
      | 1    | an admitter hands over before it leaves                           |
      | 1    | a new admitter counts the running chats                           |
      | 1    | zones are taken out and in twice under load                       |
      | 1    | an acceptance whose answer is lost is settled                     |
      | 1    | one of several concurrent patches is accepted                     |
      | 1    | a voter that restarts during an acceptance does not vouch         |
      | 1    | a patch in a store outage is refused and all routers stay fresh   |
      | 1    | a router that starts in a store outage loads its state from peers |
      | 1    | all routers are replaced at once                                  |
      | 1    | a killed router leaves the view and rejoins after a restart       |
      | 1    | a false suspicion is withdrawn                                    |
      | 1    | a patch is in force everywhere within two seconds                 |
      | 1    | a router far behind loads snapshot and patches                    |
      | 1    | a refused placement leaves no grant                               |
