Feature: Routers whose views of store, peers and upstreams differ

  What one router knows from its own view must not keep another one from what that lacks.

  # Guards against a router that takes a cold replica for warm: another one, which knew that it is
  # cold without the entry, took that for a heartbeat and sent it to nobody.
  Scenario Outline: A router learns that a replica is cold from one that knew it before: <known>
    Given a router that knows 3 replicas
    And a router without any rows
    When the second router applies all rows of the first
    And it is known to the first router that the replica "r0" <known>
    And the second router hears the first and fetches what it lacks
    And 1000 ms pass
    And the replica "r0" writes that it is cold for 4000 ms
    And the second router hears the first and fetches what it lacks
    Then the replica "r0" is cold at the second router for 4000 ms

    Examples:
      | known                              |
      | answers that it is cold for 2000 ms |
      | was unreachable and then succeeded |
      | is in a zone that was restored     |
      | writes that it is cold for 2000 ms |

  # Guards against a router that stood still and takes what waited in its socket meanwhile for new:
  # it held outdated rows for confirmed ones, and silent routers for heard ones.
  Scenario: What waited in the socket of a router that stood still is as old as it is
    Given a router whose tables and rows on versions were confirmed 5000 ms ago
    When a message confirms them 100 ms after the store, and the router stands still for 600 ms
    Then its tables and rows on versions were confirmed 700 ms ago or before
    And it heard the other router 600 ms ago or before
    And an ejection of 1000 ms that the message names ends in 400 ms or before
    And a limit that the message names was seen 600 ms ago or before

  # Guards against a message that a router takes for a new one, or for one of seconds ago, as its
  # time of day was set before the message was read.
  Scenario Outline: What waited in a socket for <span> ms is as old as it is, though the time of day is set by <step> ms
    Given a router whose tables and rows on versions were confirmed 5000 ms ago
    When a message confirms them 100 ms after the store, and the router stands still for <span> ms while its time of day is set by <step> ms
    Then its tables and rows on versions were confirmed between <least> and <most> ms ago
    And it heard the other router <span> ms ago or before

    Examples:
      | span | step   | least | most |
      | 600  | 0      | 700   | 1500 |
      | 600  | -2000  | 700   | 1500 |
      | 600  | 2000   | 700   | 1500 |
      | 600  | -86400 | 700   | 1500 |
      | 1    | -2000  | 100   | 900  |
      | 1    | 2000   | 100   | 900  |

  # Guards against the same in all orders; a datagram counts as no older than the socket was not known to be empty.
  Scenario Outline: A datagram that waits for <waited> ms counts as <age> ms old if the time of day is set by <before> and <after> ms
    Given a socket that was found empty, and gets a datagram <idle> ms later
    When the time of day is set by <before> ms before its arrival, and by <after> ms after it, and it is read <waited> ms after it
    Then it counts as <age> ms old

    Examples: Nothing is set
      | idle | before | after | waited | age  |
      | 10   | 0      | 0     | 0      | 0    |
      | 10   | 0      | 0     | 5000   | 5000 |
      | 5000 | 0      | 0     | 600    | 600  |

    Examples: It is set before or after the arrival, or both
      | idle | before | after | waited | age  |
      | 10   | 0      | 2000  | 0      | 10   |
      | 10   | 0      | 2000  | 600    | 610  |
      | 10   | 0      | -2000 | 600    | 610  |
      | 10   | 0      | -2000 | 5000   | 5010 |
      | 10   | 0      | 2000  | 5000   | 5010 |
      | 10   | 2000   | 0     | 600    | 610  |
      | 10   | -2000  | 0     | 600    | 610  |
      | 10   | 2000   | -2000 | 600    | 610  |
      | 10   | 2000   | -1000 | 5000   | 5010 |
      | 10   | -2000  | 2000  | 600    | 610  |

  # Guards against a router that stood still while a replica became cold, and then sent it all the
  # requests that had waited, before it read the list of upstreams.
  Scenario: A router that stood still sends no more than a cold replica bears
    Given a store, two replicas of each service, and a router
    And the replicas of "till" take 2 requests a second while they are cold
    When the router stands still, "till-1" becomes cold, and 60 requests to "/check/a" arrive
    Then within 1000 ms after the router goes on "till-1" runs 8 requests at most

  # Guards against a standstill that no check notices, as none was made before it.
  Scenario: A router that stands still before its first check has stood still
    When a router stands still for 1000 ms, 50 ms after its maintenance began
    Then it has noticed that it stood still

  # Guards against a router that trusts the list of upstreams from before a standstill.
  Scenario Outline: A replica counts as cold after a standstill of <span> ms: <cold>
    Given a router that knows 3 replicas
    When the router stands still for <span> ms
    And <after>
    Then the replica "r0" counts as cold: <cold>

    Examples:
      | span | after                             | cold |
      | 1000 | 0 ms pass                         | no   |
      | 1500 | 0 ms pass                         | yes  |
      | 5000 | 0 ms pass                         | yes  |
      | 5000 | the list of upstreams is confirmed | no   |
      | 5000 | the router runs on for 1000 ms    | yes  |
      | 5000 | the router runs on for 2500 ms    | no   |
      | 0    | the router runs on for 5000 ms    | no   |

  # Guards against an answer of the store that waited while the router stood still, taken for new.
  Scenario Outline: An answer of the store is as old as the standstill before it was read
    Given a router that knows 3 replicas
    When an answer of the store is read <span> ms after the call
    Then the list of upstreams was confirmed <age> ms ago

    Examples:
      | span | age  |
      | 500  | 0    |
      | 749  | 0    |
      | 3000 | 3000 |

  # Guards against rows of another router that are taken for new after a long fetch.
  Scenario: Rows of another router are as old as its summary and the fetch
    Given a router that knows 3 replicas
    When rows that were 100 ms old arrive 300 ms after they were asked for
    Then the list of upstreams was confirmed 400 ms ago

  # Guards against a router that heard nothing of an evacuation until it had ended, and takes the
  # replicas of the zone for warm, as it does not know that they stood idle.
  Scenario: The replicas of a zone count as cold where only the end of its evacuation was heard
    Given a router that knows 3 replicas
    And a router without any rows
    When the second router applies all rows of the first
    And the zone of "r0" is evacuated
    And the zone of "r0" is restored
    And the second router hears the first and fetches what it lacks
    Then the replica "r0" is cold at the second router for 3000 ms

  # Guards against a router that takes what it hears for all there is, while others count a router
  # that it does not hear: rows that it had not seen changing counted as the newest.
  Scenario Outline: A router hears all others only if it hears each that these count: <case>
    Given a router that heard 4 others, which count <counted> routers
    When it knows <registered> more from the store, and <span> ms pass while the 4 go on
    Then it hears all others: <all>

    Examples:
      | case                               | counted | registered | span  | all |
      | it hears all                       | 5       | 0          | 1000  | yes |
      | one that it does not know          | 6       | 0          | 1000  | no  |
      | one that it never heard            | 6       | 1          | 1000  | no  |
      | one that nobody heard, soon        | 5       | 1          | 1000  | no  |
      | one that nobody heard, for long    | 5       | 1          | 31000 | yes |
      | one that it never heard, for long  | 6       | 1          | 31000 | no  |
