Feature: Admission while room is short

  Requests are sent while an upstream has room, wait while they can still start in time, and are
  refused otherwise.

  # Guards against an order in which one workspace, size or priority keeps the others from room.
  Scenario Outline: The order of the waiting requests: <case>
    When the requests "<requests>" wait, after work of "<work>"
    Then they are taken in the order "<order>"

    Examples:
      | case                                     | requests                        | work     | order           |
      | the most urgent priority first           | a:w1:2 b:w1:0 c:w1:1            | none     | b c a           |
      | the workspace with the least work first  | a:w1:1 b:w2:1 c:w3:1            | w1=3,w2=1 | c b a          |
      | each turn adds to a workspace's work     | a:w1:1 b:w1:1 c:w2:1 d:w2:1     | w1=1,w2=1.5 | a c b d      |
      | one that came back before new ones       | a:w1:1 b:w1:1:returned          | none     | b a             |
      | a retry before all priorities            | a:w1:0 b:w1:2:ahead             | none     | b a             |
      | the oldest of a workspace first          | a:w1:1 b:w1:1 c:w1:1            | none     | a b c           |
      | every second place by age                | a:w1:1:aged b:w2:1 c:w2:1 d:w2:1 | w1=99   | b a c d         |

  # Guards against a priority that is never served while more urgent requests keep coming.
  Scenario: A request of the last priority is taken while urgent ones keep coming
    When a request of priority 9 waits and a new one of priority 0 comes for each that is taken
    Then the request of priority 9 is among the first 16 that are taken

  # Guards against a queue that costs more for each request the more of them wait.
  Scenario: A queue of 10,000 requests takes a short time for each step
    When 10000 requests of 50 workspaces wait and are taken or removed in turn
    Then each step took at most 0.1 ms on average, and no request was lost or taken twice
    And the queue refuses one more when it is full

  # Guards against refusals while there is room, waits that cannot end in time, and a refusal as not
  # run of a request that may have run.
  Scenario Outline: The decision on one request: <case>
    Then with "<demand>" and the room "<room>" the decision is "<decision>"

    Examples:
      | case                                    | demand                  | room                               | decision               |
      | room                                    | left=300,first          | free,taken=9,places=12             | admit                  |
      | room, but others are first              | left=300                | free,taken=9,places=12             | wait                   |
      | no room                                 | left=300,first          | taken=12,places=12                 | wait                   |
      | counted late: half the places are free  | left=300,first          | taken=5,places=12                  | admit                  |
      | not more than half of them              | left=300,first          | taken=6,places=12                  | wait                   |
      | late already, but there is room         | left=0,first            | free,taken=9,places=12             | admit                  |
      | late already and no room                | left=0,first            | taken=12,places=12                 | refuse time_used_up    |
      | after the deadline, even with room      | left=0,first,expired    | free,taken=0,places=12             | refuse time_used_up    |
      | too many wait before it                 | left=300                | taken=12,places=12,before=9,drain=20 | refuse no_room_in_time |
      | few wait before it                      | left=300                | taken=12,places=12,before=4,drain=20 | wait                 |
      | a retry is not refused for others       | left=300,ahead          | taken=12,places=12,before=9,drain=20 | wait                 |
      | an unknown rate refuses nothing         | left=300                | taken=12,places=12,before=99       | wait                   |
      | a full queue                            | left=300                | taken=12,places=12,full            | refuse queue_full      |
      | time is up, but it may have run         | left=0,ran              | taken=12,places=12                 | admit                  |
      | a full queue, but it may have run       | left=300,ran            | taken=12,places=12,full            | admit                  |

  # Guards against callers who come back before there is room, all at once, or too late to be served.
  Scenario Outline: The Retry-After of 200 refused callers: <case>
    Then with a backlog of <backlog>, <drain> starts a second and <left> ms left, it is from <least> to <most> ms

    Examples:
      | case                        | backlog | drain | left | least | most |
      | a short backlog             | 9       | 50    | 3000 | 200   | 400  |
      | nothing waits               | 0       | 1000  | 3000 | 50    | 100  |
      | a long backlog              | 999     | 50    | 3000 | 500   | 1000 |
      | an unknown rate             | 9       | 0     | 9000 | 500   | 1000 |
      | no time left                | 9       | 50    | 0    | 0     | 0    |

  # Guards against callers who always come first because they were refused once long ago.
  Scenario Outline: A refused request is recognized when it comes back: <case>
    When a request is refused for 400 ms and one with <body> comes <after> ms later
    Then it is recognized: <first>, and once more: no

    Examples:
      | case                   | body          | after | first |
      | in time                | the same body | 500   | yes   |
      | just in time           | the same body | 1400  | yes   |
      | much later             | the same body | 1401  | no    |
      | another request        | another body  | 500   | no    |

  # Guards against shares of the slots that are below one request, which would refuse everything.
  Scenario Outline: The room of a replica: <case>
    Then a replica with <slots> slots, <load> requests, <own> of them from this one of <routers> routers, <alone>, has room: <room>

    Examples:
      | case                              | slots | load | own | routers | alone         | room |
      | a free slot                       | 8     | 7    | 0   | 70      | hearing loads | yes  |
      | a place in the small queue        | 8     | 9    | 0   | 70      | hearing loads | yes  |
      | full                              | 8     | 10   | 0   | 70      | hearing loads | no   |
      | no slots are named                | 0     | 50   | 50  | 1       | hearing loads | yes  |
      | gossip missing: its share is one  | 8     | 0    | 0   | 70      | hearing none  | yes  |
      | gossip missing: its share is used | 8     | 1    | 1   | 70      | hearing none  | no   |

  # Guards against collapse under loads that exceed the room: requests are served in time or refused
  # early, also while the router's knowledge is old or missing.
  Scenario Outline: Requests are served in time under load: <load>
    When simulated callers cause "<load>"
    Then at least <served> of 100 requests are served, and those were sent in time
    And no replica holds more than <most> requests

    Examples:
      | load                          | served | most |
      | an even load                  | 100    | 6    |
      | a burst of all callers        | 45     | 9    |
      | a third of replicas gone      | 70     | 9    |
      | long requests beside short    | 80     | 9    |
      | callers who come back once    | 70     | 9    |
      | gossip missing                | 50     | 8    |

  # Guards against refusals that no log line and no metric shows.
  Scenario: Each refusal and each wait shows in the log and in the metrics
    When simulated callers cause "a burst of all callers"
    Then each refusal has a log line with its reason, its wait and its Retry-After
    And the metrics count the refusals by reason and the requests sent after a wait

  # Guards against places that go to whichever request checks first.
  Scenario Outline: A place goes to the request whose turn it is: <case>
    When a full service has the waiting requests "<requests>"
    Then their order is "<order>"

    Examples:
      | case                          | requests              | order |
      | a more urgent priority        | a:priority=2 b:priority=0 | b a |
      | a retry before new requests   | a:priority=0 b:failures=1 | b a |
      | a resumed stream before them  | a:priority=0 b:resumes=1 | b a |
      | the oldest before the newer   | a:priority=1 b:priority=1 | a b |

  # Guards against requests that check for room on their own while it is not their turn.
  Scenario: Room of which no event tells goes to the request whose turn it is
    When replicas that were reported full have the waiting requests "a:priority=2 b:priority=0"
    Then their order is "b a"

  # Guards against "not run" for a request that may have run: its caller would run it again.
  Scenario Outline: A request whose time is up in a full service: <case>
    When a service that stays full gets a request after <failures> failures and <runs> runs
    Then the last request is <result>

    Examples:
      | case                    | failures | runs | result  |
      | a new request           | 0        | 0    | refused |
      | a retry that has not run | 1       | 0    | refused |
      | it may have run         | 1        | 1    | sent    |

  # Guards against one workspace that takes the room of the others.
  Scenario: A workspace with 7.5 times its usual demand gives way to the others
    When simulated callers cause "a workspace with 7.5 times its usual demand"
    Then at most 2 of 100 requests of the others are refused, and more of its own

  # Guards against requests that are sent after a standstill of the router though their time is up.
  Scenario: After a standstill nothing is sent whose deadline is over
    When simulated callers cause "a standstill of the router"
    Then no request was sent after its deadline

  # Guards against a router that waits for room because of a report that is no longer true.
  Scenario: Old load reports do not hold requests for longer than they count
    When a router reported 50 requests at each replica and was not heard since
    Then a request that comes 1001 ms later is sent at once

  # Guards against a changed order or refusals where the settings do not ask for admission control.
  Scenario Outline: The settings enable admission control: <line>
    Then admission control with the line "<line>" is <enabled>

    Examples:
      | line                        | enabled |
      | none                        | no      |
      | contracts=                  | no      |
      | contracts=streams           | no      |
      | contracts=pressured         | no      |
      | contracts=pressure          | yes     |
      | contracts=streams, pressure | yes     |
