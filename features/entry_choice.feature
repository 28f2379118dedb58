Feature: The choice of an upstream in a large fleet

  The choice keeps sums and remembered orders, so that its cost does not grow with routers and
  replicas.  It must be the choice that a plain walk over all of them makes.

  Scenario Outline: The choice is that of the plain method in random states
    Given a router among <routers> others before <replicas> replicas, by the seed <seed>
    When 300 random events happen and a choice follows each
    Then each choice was that of the plain method

    Examples:
      | routers | replicas | seed |
      | 0       | 1        | 1    |
      | 1       | 3        | 2    |
      | 8       | 6        | 3    |
      | 8       | 12       | 4    |
      | 40      | 30       | 5    |
      | 40      | 30       | 6    |

  Scenario: Reported loads count until they expire, and once
    Given a router among 3 others before 2 replicas, by the seed 1
    When "n1" reports 5 requests at "r0", then 7, and "n2" reports 2
    Then the load of "r0" is 9
    And the load of "r0" is 0 after the lifetime of a report

  Scenario Outline: A request of a plain service stays in its router's zone while places are free there
    Given a router in "cape-a" before plain replicas "<replicas>"
    When 30 requests are sent to the plain service and stay in flight
    Then at least <near> of the first 2 go to the own zone
    And no replica has more than <most> requests in flight

    Examples:
      | replicas             | near | most |
      | cape-a,cape-b,cape-c | 2    | 12   |
      | cape-b,cape-c,cape-b | 0    | 11   |

  Scenario: Of two holders of a prefix, the one in the router's zone is chosen
    Given a router among 1 others before 6 replicas, by the seed 1
    When the prefix of a chat is held by a replica of each zone
    Then the chat goes to the holder in the router's zone

  Scenario: Replicas that left are not kept for chats that do not return
    Given a router among 1 others before 6 replicas, by the seed 1
    When 50 chats come, each after a replica has joined
    Then no list of members but the newest is kept

  # Guards against many routers that send chats to a replica which is known to be full by its answers.
  Scenario Outline: What replicas tell of their load in answers counts: <case>
    Given a router among 3 others before 3 replicas, by the seed 1
    And the replica that a chat prefers
    When "<source>" learns from an answer that it holds <load> requests, <age> ms ago
    Then the chat goes <where>

    Examples:
      | case                               | source | load | age  | where         |
      | a busy replica is passed over      | here   | 9    | 0    | elsewhere     |
      | another router reports it          | n1     | 9    | 300  | elsewhere     |
      | a load under the bound             | here   | 1    | 0    | there         |
      | a load that is no longer true      | here   | 9    | 1001 | there         |
      | a report that is old by now         | n1     | 9    | 1001 | there         |

  Scenario Outline: A message about busy replicas is read, or refused with a clear error: <case>
    When a router reads the message about loads "<items>"
    Then it gives "<result>"

    Examples:
      | case              | items             | result                            |
      | two replicas      | r0:9:20:0 r1:15:0:1 | r0:9:20:0 r1:15:0:1             |
      | none              |                   |                                   |
      | a load of words   | r0:many:20:0      | invalid message about loads       |
      | too few fields    | r0:9              | invalid message about loads       |

  # Guards against replicas that hold a prefix and get the more chats the fuller they are, and against
  # chats that are read again wherever they come while all are busy.
  Scenario Outline: If all replicas are busy, a holder takes its chats up to their mean, <case>
    Given a router among 3 others before 3 replicas, by the seed 1
    And the replica that a chat prefers
    When the replicas report <loads> requests, the preferred one first
    Then the chat goes <where>

    Examples:
      | case                                | loads    | where     |
      | the holder is fuller                | 14 12 12 | elsewhere |
      | the holder is the least loaded      | 12 14 14 | there     |
      | all are equal                       | 12 12 12 | there     |
      | the holder is not above the mean    | 13 12 14 | there     |
      | the holder is above the mean        | 13 12 13 | elsewhere |

  # Guards against a bound on load that is far too low at routers that have just started.
  Scenario Outline: The mean load counts routers that were not heard yet like the others: <case>
    Given a router among <routers> others before 4 replicas, by the seed 1
    When <heard> of them report 8 requests, and <silent> are known by their entries only
    Then the mean load is <mean>
    And the mean load is <later> after the lifetime of a report

    Examples:
      | case                         | routers | heard | silent | mean | later |
      | all were heard               | 3       | 3     | 0      | 6    | 0     |
      | one of three was heard       | 3       | 1     | 2      | 4    | 0     |
      | none was heard, none is busy | 3       | 0     | 3      | 0    | 0     |

  # Guards against a mean that lags by seconds in a large fleet, when traffic begins or grows.
  Scenario Outline: The mean load is that of the newest reports: <case>
    Given a router among <routers> others before 4 replicas, by the seed 1
    When all report no requests, and <span> ms later <count> of them 8 requests
    Then the mean load is <mean>

    Examples:
      | case                                    | routers | span | count | mean   |
      | some of many reports are recent         | 100     | 3000 | 20    | 192.38 |
      | too few are recent, so older ones count | 100     | 3000 | 9     | 106.94 |
      | all are recent                          | 100     | 1000 | 20    | 40     |
      | a small fleet, others have expired      | 3       | 3000 | 1     | 2      |
