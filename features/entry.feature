Feature: Decisions of an entry router

  Scenario Outline: The route with the longest prefix of the path is taken
    Given routes with the prefixes "/a/", "/a/b/" and "/"
    Then the path "<path>" takes the prefix "<prefix>"

    Examples:
      | path     | prefix |
      | /a/x     | /a/    |
      | /a/b/x   | /a/b/  |
      | /a/b     | /a/    |
      | /c       | /      |
      | /a/b/c/d | /a/b/  |

  Scenario Outline: A request is sent again only where that is safe
    Given a "<kind>" route with <attempts> attempts that may resume: <resume>
    When sends end as "<outcomes>"
    Then another send is allowed: <allowed>
    And the request has surely not run: <not_run>

    Examples:
      | kind           | attempts | resume | outcomes                 | allowed | not_run |
      | non_idempotent | 3        | no     | broken                   | no      | no      |
      | non_idempotent | 3        | no     | failed                   | no      | no      |
      | non_idempotent | 3        | no     | silent                   | no      | no      |
      | non_idempotent | 1        | no     | not_sent                 | yes     | yes     |
      | non_idempotent | 1        | no     | not_run                  | yes     | yes     |
      | idempotent     | 2        | no     | failed                   | yes     | no      |
      | idempotent     | 2        | no     | failed,failed            | no      | no      |
      | idempotent     | 1        | no     | broken                   | no      | no      |
      | streaming      | 2        | no     | broken                   | no      | no      |
      | streaming      | 2        | yes    | broken                   | yes     | no      |
      | streaming      | 2        | yes    | broken,silent            | no      | no      |
      | idempotent     | 9        | no     | not_sent,not_sent,not_sent,not_sent | no | yes |

  Scenario Outline: Only a stream goes on after a part of its answer
    Given a "<kind>" route with 3 attempts that may resume: yes
    When sends end as "broken"
    And a part of the answer has reached the client
    Then another send is allowed: <allowed>

    Examples:
      | kind       | allowed |
      | idempotent | no      |
      | streaming  | yes     |

  Scenario Outline: All routers together keep a cold replica's limit
    Given <routers> routers that know of each other
    When each sends to a cold replica as often as it may for 5000 ms, from a moment up to <apart> ms on
    Then in no second more than 24 requests reach the replica
    And at least <least> requests reach it

    Examples:
      | routers | apart | least |
      | 1       | 0     | 60    |
      | 6       | 0     | 60    |
      | 8       | 0     | 60    |
      | 30      | 0     | 60    |
      | 90      | 0     | 60    |
      | 6       | 3000  | 60    |
      | 30      | 3000  | 60    |
      | 90      | 3000  | 60    |

  Scenario Outline: All routers together keep the budget of repeats
    Given <routers> routers that know of each other
    When each serves <requests> requests over 10000 ms and repeats as often as it may
    Then the repeats are at most 0.2 of the requests and 50 more
    And there are at least <least> repeats

    Examples:
      | routers | requests | least |
      | 1       | 0        | 40    |
      | 8       | 0        | 40    |
      | 8       | 100      | 100   |
      | 90      | 10       | 60    |

  Scenario: A chat stays with the replica that holds its prefix
    Given a router that knows 6 replicas
    When a chat with the parts "p:500,c:9000,q:100" is sent
    And 2 replicas are added
    Then a chat with the parts "p:500,c:9000,z:50" goes to the same replica

  Scenario: A chat goes on elsewhere and copies its prefix when its replica is overloaded
    Given a router that knows 6 replicas
    When a chat with the parts "p:500,c:9000,q:100" is sent
    And its replica has 40 requests of other routers
    Then a chat with the parts "p:500,c:9000,z:50" goes to another replica
    And the replica is told to copy the prefix from the first one

  Scenario: What a replica held before its restart is forgotten
    Given a router that knows 6 replicas
    When a chat with the parts "p:500,c:9000,q:100" is sent
    And its replica starts anew under the same name
    Then the replica holds 0 tokens of "p:500,c:9000,z:50"

  Scenario Outline: A router that starts is told of the placements of the last seconds
    Given a router that knows 6 replicas
    When a chat with the parts "p:500,c:9000,q:100" is sent
    And <age> ms pass
    And the router "r2" is heard with the boot "b1"
    And the router "r2" was told all and is heard with the boot "<boot>"
    Then "r2" is told <count> placements

    Examples:
      | age   | boot | count |
      | 5000  | b1   | 0     |
      | 5000  | b2   | 1     |
      | 16000 | b2   | 0     |

  Scenario: All routers place a new chat alike
    Given 8 routers that know 6 replicas each
    Then each of 50 new chats goes to one replica, whichever router takes it
    And every replica is used

  Scenario Outline: Upstreams that may not be sent to are left out
    Given a router that knows 3 replicas
    When <what>
    Then no request goes to the replica "r0"

    Examples:
      | what                          |
      | the replica "r0" is draining  |
      | the replica "r0" is removed   |
      | the zone of "r0" is emptied   |
      | the replica "r0" is unreachable |

  Scenario Outline: A request reaches only upstreams in its home regions
    Given a router that knows 6 replicas in the regions "east,west,west"
    When the route's homes are "<route>" and the workspace's are "<workspace>"
    Then requests reach the regions "<reached>"

    Examples:
      | route     | workspace | reached   |
      |           |           | east,west |
      | east      |           | east      |
      |           | west      | west      |
      | east,west | west      | west      |
      | east      | west      |           |

  Scenario Outline: A replica that <showed> gets a cold one's share: <cold>
    Given a router that knows 3 replicas
    When the replica "r0" shows that it <showed>
    Then the replica "r0" gets a cold one's share: <cold>

    Examples:
      | showed                                    | cold |
      | was unreachable                           | yes  |
      | broke two connections                     | no   |
      | failed three requests                     | no   |
      | was told as lost                          | yes  |
      | was told as failing                       | no   |
      | was unreachable and then did well         | yes  |
      | was unreachable, and well 3100 ms ago     | no   |

  Scenario: A zone that is back is taken as cold
    Given a router that knows 3 replicas
    When the zone of "r0" is emptied
    And the zone of "r0" is taken back
    Then the replica "r0" is cold for 3000 ms

  Scenario: Beliefs never run backwards
    Given a router that knows 3 replicas
    When the configuration 5 is taken in a row of version 20
    And the configuration 4 is taken in a row of version 30
    And the configuration 6 is taken in a row of version 10
    Then the configuration 5 is in force

  Scenario: Removals right after an outage of the store are held
    Given a router that knows 3 replicas
    When the store is away for 6000 ms
    And the replica "r0" is removed
    Then requests may go to the replica "r0"
    When 2300 ms pass
    And the list of upstreams is confirmed
    Then no request goes to the replica "r0"

  Scenario: A removal that is held is not carried out on a list that is not read
    Given a router that knows 3 replicas
    When the store is away for 6000 ms
    And the replica "r0" is removed
    And 6000 ms pass
    Then requests may go to the replica "r0"

  Scenario: A replica that is back during the hold stays
    Given a router that knows 3 replicas
    When the store is away for 6000 ms
    And the replica "r0" is removed
    And the replica "r0" is listed again
    And 2300 ms pass
    And the list of upstreams is confirmed
    Then requests may go to the replica "r0"

  Scenario Outline: A change of an entry that other routers act on is told as one
    Given a router that knows 3 replicas
    When <before>
    And <change>
    Then the last change that mattered is the newest row: <matters>

    Examples:
      | before                         | change                                  | matters |
      | the store is away for 10 ms    | the replica "r0" writes a beat          | no      |
      | the store is away for 10 ms    | the replica "r0" is draining            | yes     |
      | the store is away for 10 ms    | the replica "r0" says it is cold        | yes     |
      | the store is away for 10 ms    | the replica "r0" says it has more slots | yes     |
      | the removal of "r0" is held    | the replica "r0" is listed again        | yes     |

  Scenario Outline: Failures decide whether an upstream is left alone
    Given a router that knows 3 replicas
    When requests to "r0" show "<signs>"
    Then the replica "r0" is left alone: <alone>

    Examples:
      | signs                                     | alone |
      | good                                      | no    |
      | unreachable                               | yes   |
      | broken                                    | no    |
      | broken,broken                             | yes   |
      | failed,failed                             | no    |
      | failed,failed,failed                      | yes   |
      | failed,good,failed,good                   | no    |
      | failed,good,failed,failed,good,failed,failed,good,failed,failed,good,failed,failed | yes |

  Scenario: What fails everywhere speaks against no replica
    Given a router that knows 3 replicas
    When requests to all replicas fail 2 times of 5, 60 times
    Then requests may go to the replica "r0"

  Scenario: Where all replicas are left alone, one that can be reached is better than none
    Given a router that knows 3 replicas
    When requests to "r0" show "failed,failed,failed"
    And requests to "r1" show "unreachable"
    And requests to "r2" show "unreachable"
    Then requests may go to the replica "r0"
    And no request goes to the replica "r1"

  Scenario: A replica that was left alone is tried with one request at a time
    Given a router that knows 3 replicas
    When requests to "r0" show "unreachable"
    And 700 ms pass
    And a trial request to "r0" runs
    Then no request goes to the replica "r0"

  Scenario Outline: A request that crashes upstreams is refused
    Given a router that knows 3 replicas
    When the request crashes <own> replicas here and <told> elsewhere
    Then the request is refused: <refused>

    Examples:
      | own | told | refused |
      | 1   | 0    | no      |
      | 2   | 0    | no      |
      | 2   | 1    | yes     |
      | 0   | 3    | yes     |

  Scenario Outline: Only whole events are forwarded
    When the bytes "<bytes>" arrive in pieces of <size>
    Then the events are "<events>" and a part is left: <partial>

    Examples:
      | bytes                            | size | events | partial |
      | id: 1\ndata: a\n\nid: 2\n\n      | 1    | 1,2    | no      |
      | id: 1\ndata: a\n\nid: 2\n\n      | 50   | 1,2    | no      |
      | id: 1\n\nid: 2\nda               | 3    | 1      | yes     |
      | id: 7\r\ndata: x\r\n\r\nid: 8\n\n | 4   | 7,8    | no      |

  Scenario Outline: One router reads the store for those that hear it
    Given 3 routers that hear each other
    When <what>
    Then <readers> routers read the store

    Examples:
      | what                                 | readers |
      | all is well                          | 1       |
      | the reader is not heard for 800 ms   | 1       |
      | the reader's rows are 1500 ms old    | 1       |

  Scenario: A router that is behind takes the rows of another
    Given a router that knows 3 replicas
    And a router that knows nothing
    When the second one takes all rows of the first
    Then both know the same

  Scenario: Rows that were removed are passed on
    Given a router that knows 3 replicas
    And a router that knows nothing
    When the second one takes all rows of the first
    And the replica "r0" is removed
    And the second one takes the changes of the first
    Then both know the same

  Scenario Outline: What arrives as an upstream is given up <arrives> is passed on whole
    When an upstream is given up and data arrives <arrives>
    Then the data was passed on: <passed>
    And the upstream was given up

    Examples:
      | arrives                | passed |
      | while it is looked at  | yes    |
      | never                  | no     |
