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
    Then with limits "<limits>" and <demand> requests the replicas in service are "<service>"

    Examples:
      | limits                  | demand | service   |
      | a=32,b=32,c=32          | 10     | a,b,c     |
      | a=32,b=32,c=32,d=1      | 90     | a,b,c     |
      | a=32,b=32,c=32,d=1      | 5      | a,b,c,d   |
      | a=1,b=1,c=1             | 9      | a,b,c     |
      | a=32,b=32,c=32,d=32,e=4 | 90     | a,b,c,d,e |

  Scenario: A pool of 6 stays within the load bound under random requests and releases
    When a pool of 6 replicas gets 4000 random requests and releases
    Then no invariant was violated and every replica was used

  Scenario Outline: The load limit of a cold replica follows its ramp
    Given a ramp from 2 to 32 slots in 10000 ms
    When <age> ms have passed
    Then the limit is <limit>

    Examples:
      | age   | limit |
      | 0     | 2     |
      | 1000  | 5     |
      | 5000  | 17    |
      | 10000 | 32    |

  Scenario Outline: A replica restarts its ramp after a restart or slow first tokens: <signal>
    Given a ramp from 2 to 32 slots in 10000 ms
    When 20000 ms have passed
    And the replica reports <signal>
    Then the limit is <limit>

    Examples:
      | signal                  | limit |
      | another boot id         | 2     |
      | three slow first tokens | 2     |
      | one slow first token    | 32    |
      | the same boot id        | 32    |

  Scenario: A surge of one workspace causes refusals only for that workspace
    Given a full pool of 2 replicas of 2 slots with a queue of 6
    When workspace "loud" sends 10 requests and then workspace "quiet" sends 2
    Then "quiet" is refused 0 times and "loud" at least 4 times
    And "quiet" is served first when slots become free

  Scenario Outline: A request that cannot run is refused with "<code>"
    Given a full pool of 1 replicas of 1 slots with a queue of 1
    When a request with <property> waits until its wait limit
    Then it is refused with "<code>"

    Examples:
      | property                   | code            |
      | nothing special            | no_capacity     |
      | every replica avoided      | no_replica      |
      | its workspace at its limit | workspace_limit |

  Scenario: Grants that their router no longer lists are removed
    Given a full pool of 2 replicas of 2 slots with a queue of 6
    When the router lists no grants and the admitter reconciles
    Then the admitter has no grants and counts no load

  Scenario: Grants of a replica that is out of service at a takeover count when it returns
    Given an admitter that took over while a replica with 3 requests was out of service
    When the replica is in service again
    Then the admitter counts a load of 3 for it

  # Guards against a check that an empty collection turns off: no voters are no majority.
  Scenario Outline: A lease is held by majorities of its voters only: <members>
    When a router that knows the members "<members>" counts the votes of "<votes>"
    Then it holds the lease: <held>

    Examples:
      | members | votes | held |
      | n1 n2 n3 | n1 n2 | yes |
      | n1 n2 n3 | n1    | no  |
      |          | n1    | no  |
