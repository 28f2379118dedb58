Feature: Admission to a pool

  Scenario Outline: The load bound is max(1, ceil(c * mean))
    Then the bound of <total> requests over <replicas> replicas at <factor> is <bound>

    Examples:
      | total | replicas | factor | bound |
      | 1     | 6        | 1.25   | 1     |
      | 6     | 6        | 1.25   | 2     |
      | 18    | 6        | 1.25   | 4     |
      | 60    | 6        | 1.25   | 13    |
      | 48    | 6        | 1.25   | 10    |
      | 5     | 1        | 1.0    | 5     |

  Scenario Outline: Cold replicas enter service without throttling the warm ones
    Then with limits "<limits>" and a demand of <demand> the replicas in service are "<service>"

    Examples:
      | limits                | demand | service           |
      | a=32,b=32,c=32        | 10     | a,b,c             |
      | a=32,b=32,c=32,d=1    | 90     | a,b,c             |
      | a=32,b=32,c=32,d=1    | 5      | a,b,c,d           |
      | a=1,b=1,c=1           | 9      | a,b,c             |
      | a=32,b=32,c=32,d=32,e=4 | 90   | a,b,c,d,e         |

  Scenario: A pool of 6 holds the bound under random asks and releases
    When 4000 random asks and releases reach a pool of 6 replicas
    Then no invariant was broken and every replica was used

  Scenario Outline: A replica on its ramp carries no more than the ramp allows
    Given a ramp from 2 to 32 slots in 10000 ms
    When <age> ms have passed
    Then the limit is <limit>

    Examples:
      | age   | limit |
      | 0     | 2     |
      | 1000  | 5     |
      | 5000  | 17    |
      | 10000 | 32    |

  Scenario Outline: A replica turns cold again by <sign>
    Given a ramp from 2 to 32 slots in 10000 ms
    When 20000 ms have passed
    And the replica shows <sign>
    Then the limit is <limit>

    Examples:
      | sign                 | limit |
      | another boot id      | 2     |
      | three slow answers   | 2     |
      | one slow answer      | 32    |
      | the same boot id     | 32    |

  Scenario: A surge of one workspace hurts only its own
    Given a full pool of 2 replicas of 2 slots with a queue of 6
    When workspace "loud" asks 10 times and then workspace "quiet" asks twice
    Then "quiet" is refused 0 times and "loud" at least 4 times
    And "quiet" is served first when slots become free

  Scenario Outline: A request that cannot run is refused with "<code>"
    Given a full pool of 1 replicas of 1 slots with a queue of 1
    When a request with <property> asks and its wait passes
    Then it is refused with "<code>"

    Examples:
      | property                | code            |
      | nothing special         | no_capacity     |
      | every replica avoided   | no_replica      |
      | no allowance left       | workspace_limit |

  Scenario: The account never holds what its router does not
    Given a full pool of 2 replicas of 2 slots with a queue of 6
    When the routers list nothing and the account is reconciled
    Then the account is empty

  Scenario: Requests of a replica that is out at a takeover count when it returns
    Given an admitter that took over while a replica with 3 requests was out
    When the replica returns
    Then its load on account is 3
