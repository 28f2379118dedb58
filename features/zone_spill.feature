Feature: Requests that leave the router's zone

  A request leaves its zone where that pays: by the link, its bytes, the shared parts of its prompt
  and the pressure of the zones.  Over links that are short or not known, the choice is as before.

  # Guards against an estimate set by one wrong time, by a busy router's times, or by too few.
  Scenario Outline: The round trip to a zone is a low one of the recent times: <case>
    Given connections to a zone that took "<times>" ms
    When the times are <age> ms old
    Then the round trip to the zone is "<rtt>" ms, and weighed: <weighed>

    Examples:
      | case                       | times             | age   | rtt     | weighed |
      | a long link                | 7.9,8.3,7.8,30    | 0     | 7.9     | yes     |
      | a short link               | 1.1,1.0,1.2       | 0     | 1.1     | no      |
      | at the threshold           | 5.0,5.0,5.0       | 0     | 5.0     | yes     |
      | below the threshold        | 4.9,4.9,4.9       | 0     | 4.9     | no      |
      | a busy router              | 7.8,400,7.9,90,55 | 0     | 7.9     | yes     |
      | one wrong time             | 0.1,7.8,7.9,8.0   | 0     | 7.8     | yes     |
      | too few times              | 7.8,7.9           | 0     | unknown | no      |
      | times that are still valid | 7.8,7.9,8.0       | 60000 | 7.9     | yes     |
      | times that have expired    | 7.8,7.9,8.0       | 60001 | unknown | no      |
      | a time that cannot be      | -1,-1,7.8,7.9,8.0 | 0     | 7.9     | yes     |

  # Guards against state that grows with the names of zones or the number of connections.
  Scenario: The times of few zones and of few connections are kept
    When 50 connections are made to each of 100 zones
    Then the round trips of 64 zones are known, from at most 32 times each

  # Guards against connections whose time is not measured, and relayed ones that are.
  Scenario Outline: The router measures the connections that it makes: <case>
    When a router makes 3 <way> connections that take 8 ms each
    Then the measured round trip is "<rtt>" ms

    Examples:
      | case               | way    | rtt     |
      | direct             | direct | 8.0     |
      | that do not arrive | failed | unknown |

  # Guards against demand that leaves too early, without need, all at once, or never returns.
  Scenario Outline: The part that may leave follows the pressure slowly: <case>
    Given the part <part> may leave
    When the pressures are "<pressures>", each for a second
    Then the parts that may leave are "<parts>"

    Examples:
      | case                                 | part | pressures                   | parts          |
      | room here                            | 0.0  | 0.5/0.3,0.8/0.3             | 0.0,0.0        |
      | the zone is full                     | 0.0  | 1.5/0.4,1.5/0.4             | 0.15,0.3       |
      | slightly above the threshold         | 0.0  | 0.9/0.4                     | 0.05           |
      | the others are as full               | 0.0  | 1.5/1.45                    | 0.0            |
      | the others are fuller                | 0.3  | 0.9/1.2                     | 0.2            |
      | the others are barely fuller         | 0.3  | 0.9/0.95                    | 0.3            |
      | between the thresholds               | 0.3  | 0.95/0.4,0.75/0.4           | 0.4,0.4        |
      | below the lower threshold            | 0.3  | 0.95/0.4,0.6/0.4,0.3/0.2    | 0.4,0.35,0.25  |
      | back between them after a fall       | 0.3  | 0.6/0.4,0.75/0.4            | 0.25,0.23      |
      | swings within the thresholds         | 0.0  | 0.84/0.3,0.66/0.3,0.84/0.3  | 0.0,0.0,0.0    |
      | the zone has lost all replicas       | 0.0  | -/0.4                       | 1.0            |
      | its replicas are back                | 1.0  | -/0.4,0.1/0.6,0.2/0.5       | 1.0,0.9,0.8    |
      | the others are cut off               | 0.3  | 1.5/-                       | 0.2            |
      | no replicas anywhere                 | 0.3  | -/-                         | 0.0            |
      | at most all                          | 0.95 | 2.0/0.3,2.0/0.3             | 1.0,1.0        |

  # Guards against a leap after a standstill or a time without requests.
  Scenario: The part changes by at most one step after a pause
    Given the part 0.0 may leave
    When the pressures are "1.5/0.4", after a pause of 60 s
    Then the parts that may leave are "0.15"

  # Guards against a penalty that takes effect over short links, or ignores bytes and free places.
  Scenario Outline: The penalty of another zone: <case>
    Given a link of <rtt> ms, and the part <part> of a zone with 6 slots a replica may leave
    Then the penalty of another zone for <size> bytes is <penalty>
    And the penalty of the own zone is 0.0

    Examples:
      | case                              | rtt  | part | size   | penalty |
      | a short link                      | 1.0  | 0.0  | 0      | 1.5     |
      | a short link, many bytes          | 1.9  | 0.0  | 500000 | 1.5     |
      | a link that is not known          | 0.0  | 0.0  | 0      | 1.5     |
      | a long link, places here          | 7.8  | 0.0  | 0      | 5.5     |
      | a long link, may leave            | 7.8  | 1.0  | 0      | 1.5     |
      | a very long link, may leave       | 200  | 1.0  | 0      | 4.0     |
      | many bytes, may leave             | 7.8  | 1.0  | 163840 | 10.156  |

  # Guards against chats that cross a long link for a prefix that is soon read nearer.
  Scenario Outline: A chat goes to a holder in another zone only if that pays: <case>
    Given a link of <rtt> ms, and the part <part> of a zone with 6 slots a replica may leave
    Then a holder there of <tokens> tokens is worth the way for <size> bytes: <pays>

    Examples:
      | case                       | rtt | part | tokens | size  | pays |
      | a short link               | 1.0 | 0.0  | 10     | 40000 | yes  |
      | a short chat               | 7.8 | 0.0  | 699    | 3300  | no   |
      | a classification           | 7.8 | 0.0  | 2041   | 9600  | no   |
      | a long prompt              | 7.8 | 0.0  | 10512  | 47000 | no   |
      | a long prompt of few bytes | 7.8 | 0.0  | 10512  | 2000  | yes  |
      | a chat that may leave      | 7.8 | 1.0  | 699    | 3300  | yes  |

  # Guards against a preference for the own zone that puts load, limits or evacuations second.
  Scenario Outline: A chat prefers the router's zone while that has room: <case>
    Given a router in "cape-a" before 12 replicas, with links of <rtt> ms
    And the state of the zones "<state>"
    When 60 chats come
    Then all chats go to <zones>

    Examples:
      | case                       | rtt | state                         | zones                 |
      | a long link                | 7.8 | nothing                       | cape-a                |
      | a short link               | 1.0 | nothing                       | cape-a cape-b cape-c  |
      | the own zone is evacuated  | 7.8 | cape-a is evacuated           | cape-b cape-c         |
      | the own zone is overloaded | 7.8 | the own zone is overloaded    | cape-b cape-c         |
      | the own zone is full       | 7.8 | the own zone has 1 slot       | cape-b cape-c         |
      | another region only        | 7.8 | only cape-b is allowed        | cape-b                |
      | the own zone asks to wait  | 7.8 | the own zone asks to wait     | cape-b cape-c         |

  # Guards against holders that are passed over without need, or used at the price of the link.
  Scenario Outline: A chat whose prefix is held in another zone: <case>
    Given a router in "cape-a" before 12 replicas, with links of <rtt> ms
    And the state of the zones "<state>"
    When a chat of <tokens> shared tokens and <size> bytes comes, held by a replica of "cape-b"
    Then the chat with a holder goes to <where>

    Examples:
      | case                    | rtt | state                      | tokens | size  | where          |
      | a short link            | 1.0 | nothing                    | 700    | 3300  | its holder     |
      | a short prompt          | 7.8 | nothing                    | 700    | 3300  | the own zone   |
      | a long prompt           | 7.8 | nothing                    | 10500  | 2000  | its holder     |
      | no room in the own zone | 7.8 | the own zone is overloaded | 700    | 3300  | its holder     |
      | no free slot here       | 7.8 | the own zone has 1 slot    | 700    | 3300  | its holder     |
      | the zone is evacuated   | 7.8 | cape-a is evacuated        | 700    | 3300  | its holder     |

  # Guards against routers of a zone that read a prefix at several replicas.
  Scenario: All routers of a zone send a chat to the same replica
    Given 5 routers in "cape-b" before 12 replicas, with links of 7.8 ms
    When 40 chats come to each of them
    Then all of them choose the same replicas, of "cape-b"

  # Guards against a plain request that leaves while its zone has a free place, or stays without one.
  Scenario Outline: A plain request leaves when the places of its zone are taken, <rtt> ms
    Given a router in "cape-a" before a plain replica of 6 slots in each zone, with links of <rtt> ms
    When 16 plain requests are sent and stay in flight
    Then the first <near> stay in the zone
    And no plain replica has more than <most> requests

    Examples:
      | rtt | near | most |
      | 7.8 | 6    | 11   |
      | 1.0 | 2    | 7    |

  # Guards against starts and ends that operators do not see, and values that logs cannot hold.
  Scenario: Metrics and the log show what leaves
    Given a router in "cape-a" before 12 replicas, with links of 7.8 ms
    And the state of the zones "cape-a is evacuated"
    When 3 chats are sent
    Then one line says that the service's requests start to leave
    And the metrics show the requests to other zones, the pressure, the round trips and the part
    When the zone is back and 12 s pass, with a chat each 100 ms
    Then one line says that the service's requests no longer leave

  # Guards against demand that leaves without need, zones that stay overloaded, and an unsteady part.
  Scenario Outline: A fleet of 12 routers before 24 replicas: <case>, links of <link> ms one way
    Given zones that are <link> ms apart, with <rate> requests a second
    When <event> happens in 30 s, with links that are not measured and with measured ones
    Then the share of requests that leaves is at most <away>, and at least 0.6 unmeasured
    And the mean wait is at most <wait> times that with unmeasured links
    And no 5 s break the bound on load in either run
    And all requests find an upstream in both runs
    And the part that may leave turns at most <turns> times at any router

    Examples:
      | case                  | link | rate | event                  | away | wait | turns |
      | demand in waves       | 3.9  | 193  | a wave of 0.55         | 0.10 | 1.10 | 6     |
      | much demand in waves  | 3.9  | 230  | a wave of 0.55         | 0.15 | 1.15 | 6     |
      | a third is lost       | 3.9  | 193  | the loss of 3 replicas | 0.10 | 1.05 | 6     |
      | all are lost          | 3.9  | 193  | the loss of 8 replicas | 0.35 | 1.0  | 6     |
      | demand in waves       | 0.5  | 193  | a wave of 0.55         | 1.0  | 1.0  | 0     |
      | a third is lost       | 0.5  | 193  | the loss of 3 replicas | 1.0  | 1.0  | 0     |
