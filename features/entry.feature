Feature: Decisions of an entry router

  Scenario Outline: The route with the longest matching prefix is selected
    Given routes with the prefixes "/a/", "/a/b/" and "/"
    Then the route for "<path>" has the prefix "<prefix>"

    Examples:
      | path     | prefix |
      | /a/x     | /a/    |
      | /a/b/x   | /a/b/  |
      | /a/b     | /a/    |
      | /c       | /      |
      | /a/b/c/d | /a/b/  |

  Scenario Outline: A request is retried only if that is safe
    Given a "<kind>" route with <attempts> attempts and stream resume: <resume>
    When attempts have the outcomes "<outcomes>"
    Then a retry is allowed: <allowed>
    And the request cannot have run: <not_run>

    Examples:
      | kind           | attempts | resume | outcomes                            | allowed | not_run |
      | non_idempotent | 3        | no     | broken                              | no      | no      |
      | non_idempotent | 3        | no     | failed                              | no      | no      |
      | non_idempotent | 3        | no     | silent                              | no      | no      |
      | non_idempotent | 1        | no     | not_sent                            | yes     | yes     |
      | non_idempotent | 1        | no     | not_run                             | yes     | yes     |
      | idempotent     | 2        | no     | failed                              | yes     | no      |
      | idempotent     | 2        | no     | failed,failed                       | no      | no      |
      | idempotent     | 1        | no     | broken                              | no      | no      |
      | streaming      | 2        | no     | broken                              | no      | no      |
      | streaming      | 2        | yes    | broken                              | yes     | no      |
      | streaming      | 2        | yes    | broken,silent                       | no      | no      |
      | idempotent     | 9        | no     | not_sent,not_sent,not_sent,not_sent | no      | yes     |

  Scenario Outline: Only a stream is retried after part of its response was forwarded
    Given a "<kind>" route with 3 attempts and stream resume: yes
    When attempts have the outcomes "broken"
    And part of the response has been forwarded to the caller
    Then a retry is allowed: <allowed>

    Examples:
      | kind       | allowed |
      | idempotent | no      |
      | streaming  | yes     |

  Scenario Outline: All routers together stay within the limit of a cold replica
    Given <routers> routers that know each other
    When each sends requests to a cold replica as allowed for 5000 ms, starting up to <apart> ms apart
    Then at most 24 requests reach the replica in any second
    And at least <least> requests reach the replica

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

  Scenario Outline: All routers together stay within the retry budget
    Given <routers> routers that know each other
    When each serves <requests> requests over 10000 ms and retries as often as it may
    Then the retries are at most 0.2 times the requests plus 50
    And there are at least <least> retries

    Examples:
      | routers | requests | least |
      | 1       | 0        | 40    |
      | 8       | 0        | 40    |
      | 8       | 100      | 100   |
      | 90      | 10       | 60    |

  Scenario: A chat stays with the replica that holds its prefix
    Given a router that knows 6 replicas
    When a chat with the prompt parts "p:500,c:9000,q:100" is sent
    And 2 replicas are added
    Then a chat with the prompt parts "p:500,c:9000,z:50" goes to the same replica

  Scenario: A chat whose replica is overloaded goes to another one that copies its prefix
    Given a router that knows 6 replicas
    When a chat with the prompt parts "p:500,c:9000,q:100" is sent
    And its replica has 40 requests from other routers
    Then a chat with the prompt parts "p:500,c:9000,z:50" goes to another replica
    And the prefix is to be copied from the first replica

  Scenario: A restarted replica holds no prefixes
    Given a router that knows 6 replicas
    When a chat with the prompt parts "p:500,c:9000,q:100" is sent
    And its replica restarts under the same name
    Then the replica holds 0 tokens of "p:500,c:9000,z:50"

  Scenario Outline: Only a restarted router is sent the placements of the last seconds again
    Given a router that knows 6 replicas
    When a chat with the prompt parts "p:500,c:9000,q:100" is sent
    And <age> ms pass
    And a message from the router "r2" with the boot "b1" arrives
    And all is sent to "r2" and its message with the boot "<boot>" arrives
    Then <count> placements are to be sent to "r2"

    Examples:
      | age   | boot | count |
      | 5000  | b1   | 0     |
      | 5000  | b2   | 1     |
      | 16000 | b2   | 0     |

  Scenario: All routers choose the same replica for a new chat
    Given 8 routers that know 6 replicas each
    Then each of 50 new chats goes to the same replica from every router
    And every replica is used

  Scenario Outline: Upstreams that may not get requests are not chosen
    Given a router that knows 3 replicas
    When <what>
    Then no request goes to the replica "r0"

    Examples:
      | what                            |
      | the replica "r0" is draining    |
      | the replica "r0" is removed     |
      | the zone of "r0" is evacuated   |
      | the replica "r0" is unreachable |

  # Guards against an entry of before that undoes what a replica said in an answer.
  Scenario Outline: A replica that said in an answer that it <said> is used again: <again>
    Given a router that knows 3 replicas
    When the replica "r0" says in an answer that it <said>
    And then <what>
    Then the replica "r0" is used: <again>

    Examples:
      | said                  | what                                | again |
      | leaves                | its entry says that it is ready     | no    |
      | leaves                | its entry is removed and comes back | no    |
      | leaves                | it starts again under its name      | yes   |
      | wants nothing for 9 s | its entry says that it is ready     | no    |
      | wants nothing for 9 s | its entry is removed and comes back | no    |
      | wants nothing for 9 s | it starts again under its name      | yes   |

  Scenario Outline: A request reaches only upstreams in its allowed regions
    Given a router that knows 6 replicas in the regions "east,west,west"
    When the route allows the regions "<route>" and the workspace "<workspace>"
    Then requests reach the regions "<reached>"

    Examples:
      | route     | workspace | reached   |
      |           |           | east,west |
      | east      |           | east      |
      |           | west      | west      |
      | east,west | west      | west      |
      | east      | west      |           |

  Scenario Outline: A replica that <showed> counts as cold: <cold>
    Given a router that knows 3 replicas
    When it is known that the replica "r0" <showed>
    Then the replica "r0" counts as cold: <cold>

    Examples:
      | showed                                   | cold |
      | was unreachable                          | yes  |
      | broke two connections                    | no   |
      | failed three requests                    | no   |
      | was reported as ejected, maybe restarted | yes  |
      | was reported as ejected                  | no   |
      | was unreachable and then succeeded       | yes  |
      | was unreachable, succeeded 3100 ms ago   | no   |

  Scenario: The replicas of a restored zone count as cold
    Given a router that knows 3 replicas
    When the zone of "r0" is evacuated
    And the zone of "r0" is restored
    Then the replica "r0" is cold for 3000 ms

  Scenario: The configuration never returns to an older version
    Given a router that knows 3 replicas
    When the configuration 5 arrives in a row of version 20
    And the configuration 4 arrives in a row of version 30
    And the configuration 6 arrives in a row of version 10
    Then the configuration 5 is in effect

  Scenario: Removals right after an outage of the store are delayed
    Given a router that knows 3 replicas
    When the store is unavailable for 6000 ms
    And the replica "r0" is removed
    Then requests may go to the replica "r0"
    When 2300 ms pass
    And the list of upstreams is confirmed
    Then no request goes to the replica "r0"

  Scenario: A delayed removal is not applied before the list of upstreams is confirmed
    Given a router that knows 3 replicas
    When the store is unavailable for 6000 ms
    And the replica "r0" is removed
    And 6000 ms pass
    Then requests may go to the replica "r0"

  Scenario: A replica that is listed again before its delayed removal stays
    Given a router that knows 3 replicas
    When the store is unavailable for 6000 ms
    And the replica "r0" is removed
    And the replica "r0" is listed again
    And 2300 ms pass
    And the list of upstreams is confirmed
    Then requests may go to the replica "r0"

  Scenario Outline: A change that other routers act on is distinguished from a heartbeat
    Given a router that knows 3 replicas
    When <before>
    And <change>
    Then the newest row is the last change: <matters>

    Examples:
      | before                             | change                                   | matters |
      | the store is unavailable for 10 ms | the replica "r0" writes a heartbeat      | no      |
      | the store is unavailable for 10 ms | the replica "r0" is draining             | yes     |
      | the store is unavailable for 10 ms | the replica "r0" reports that it is cold | yes     |
      | the store is unavailable for 10 ms | the replica "r0" reports more slots      | yes     |
      | the removal of "r0" is delayed     | the replica "r0" is listed again         | yes     |

  Scenario Outline: Failures decide whether an upstream is ejected
    Given a router that knows 3 replicas
    When requests to "r0" give the signals "<signals>"
    Then the replica "r0" is ejected: <ejected>

    Examples:
      | signals                 | ejected |
      | good                    | no      |
      | unreachable             | yes     |
      | broken                  | no      |
      | broken,broken           | yes     |
      | failed,failed           | no      |
      | failed,failed,failed    | yes     |
      | failed,good,failed,good | no      |
      | failed,good,failed,failed,good,failed,failed,good,failed,failed,good,failed,failed | yes     |

  Scenario: Failures at all replicas alike eject none of them
    Given a router that knows 3 replicas
    When 2 of every 5 requests to each replica fail, of 60 requests
    Then requests may go to the replica "r0"

  Scenario: If all replicas are ejected, requests go to one that can be reached
    Given a router that knows 3 replicas
    When requests to "r0" give the signals "failed,failed,failed"
    And requests to "r1" give the signals "unreachable"
    And requests to "r2" give the signals "unreachable"
    Then requests may go to the replica "r0"
    And no request goes to the replica "r1"

  Scenario: A replica gets one trial request at a time after its ejection
    Given a router that knows 3 replicas
    When requests to "r0" give the signals "unreachable"
    And 700 ms pass
    And a trial request to "r0" is running
    Then no request goes to the replica "r0"

  # Guards against a request that waits for further time-outs once no silence explains them any more: it
  # is refused within 2 s where nothing can be reached.
  Scenario Outline: An attempt that met a tolerated silence may be followed by one more: <outcomes>
    Given a "streaming" route with 2 attempts and stream resume: yes
    When attempts have the outcomes "<outcomes>"
    Then a retry is allowed: <allowed>

    Examples:
      | outcomes                                                                    | allowed |
      | not_sent,not_sent,not_sent,not_sent                                         | no      |
      | not_sent,not_sent/excused,not_sent/excused,not_sent                         | no      |
      | not_sent/excused,not_sent/excused,not_sent/excused,not_sent/excused         | yes     |
      | not_sent/excused,not_sent,not_sent,not_sent,not_sent                        | no      |
      | not_sent/excused,broken,not_sent,broken                                     | no      |

  Scenario Outline: A request that crashes upstreams is refused
    Given a router that knows 3 replicas
    When the request crashes <own> replicas at this router and <reported> at others
    Then the request is refused: <refused>

    Examples:
      | own | reported | refused |
      | 1   | 0        | no      |
      | 2   | 0        | no      |
      | 2   | 1        | yes     |
      | 0   | 3        | yes     |

  Scenario Outline: Only complete events are forwarded
    When the bytes "<bytes>" arrive in pieces of <size>
    Then the events are "<events>" and a partial event is left: <partial>

    Examples:
      | bytes                             | size | events | partial |
      | id: 1\ndata: a\n\nid: 2\n\n       | 1    | 1,2    | no      |
      | id: 1\ndata: a\n\nid: 2\n\n       | 50   | 1,2    | no      |
      | id: 1\n\nid: 2\nda                | 3    | 1      | yes     |
      | id: 7\r\ndata: x\r\n\r\nid: 8\n\n | 4    | 7,8    | no      |

  Scenario Outline: One router reads the store for those that receive its messages
    Given 3 routers that receive messages from each other
    When <what>
    Then <readers> routers read the store

    Examples:
      | what                                | readers |
      | all messages arrive                 | 1       |
      | the reader sends nothing for 800 ms | 1       |
      | the reader's rows are 1500 ms old   | 1       |

  # Guards against rounds that overflow a queue on the way, and lose the same routers each time.
  Scenario Outline: The reader of the store sends a round to <peers> routers in parts
    Given a router that reads the store, and <peers> others behind a queue of 20 datagrams
    When it sends a round
    Then each of them got one datagram within 250 ms

    Examples:
      | peers |
      | 2     |
      | 64    |
      | 194   |
      | 389   |

  Scenario: A router without rows can take all rows of another
    Given a router that knows 3 replicas
    And a router without any rows
    When the second router applies all rows of the first
    Then both routers have the same cluster state

  Scenario: Removals of rows are passed on between routers
    Given a router that knows 3 replicas
    And a router without any rows
    When the second router applies all rows of the first
    And the replica "r0" is removed
    And the second router applies the changes of the first
    Then both routers have the same cluster state

  Scenario Outline: Data that arrives <arrives> is forwarded before the attempt is aborted
    When an attempt at a silent upstream is aborted and data arrives <arrives>
    Then the data was forwarded: <forwarded>
    And the attempt was aborted

    Examples:
      | arrives            | forwarded |
      | while it is probed | yes       |
      | never              | no        |

  # Guards against routers that end, or no longer follow the list, because of another writer's entry.
  Scenario Outline: An odd entry in the list names no upstream and leaves the others: <entry>
    Given a router that knows 3 replicas
    When another writer leaves an entry with <entry>
    Then the entry is logged as invalid, and requests go to the 3 replicas

    Examples:
      | entry                          |
      | 100,000 nested lists           |
      | 100,000 nested lists in a zone |
      | slots of 1e999                 |
      | slots of 5,000 digits          |
      | slots of NaN                   |
      | a negative cold time           |
      | a start of 1e300               |
      | the port 99999                 |
      | a port of 5,000 digits         |
      | the port 0                     |
      | a port of superscript digits   |
      | a host that is no IP address   |
      | a lone surrogate as zone       |
      | bytes that are no text         |

  # Guards against a router that asks one that it does not reach again and again for what others have,
  # as the messages of that one come first each time.
  Scenario Outline: Rows are fetched from another router if the first one does not answer: <case>
    Given a router that fetches a table from "n1"
    When <span> ms later "<node>" tells that it has newer rows
    Then rows are fetched from "<node>": <fetched>

    Examples:
      | case                        | span | node | fetched |
      | the first one may answer    | 199  | n2   | no      |
      | it has not answered         | 200  | n2   | yes     |
      | from the same one           | 500  | n1   | no      |

  # Guards against routers that wait for rows of one that they cannot reach, and do not read the store.
  Scenario Outline: Rows that another router does not deliver are read from the store: <case>
    Given a router that fetches a table from "n1"
    When <span> ms pass and the fetch <state>
    Then the router reads the table itself: <reads>

    Examples:
      | case                        | span | state     | reads |
      | the other one may answer    | 399  | goes on   | no    |
      | it has not answered         | 400  | goes on   | yes   |
      | it has answered or refused  | 400  | has ended | no    |

  Scenario: At most 3 routers are asked for a table at the same time
    Given a router that fetches a table from "n1"
    When 300 ms later "n2" tells that it has newer rows
    And 300 ms later "n3" tells that it has newer rows
    And 300 ms later "n4" tells that it has newer rows
    Then rows are fetched from "n4": no
