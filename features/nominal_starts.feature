Feature: Streams get their versions by their nominal starts, which all tries of a caller share

  # Guards against streams that are refused, or joined from two versions, as no router remembers them
  # after a release, and all that is known of their begins is a window of many proportions (issue 52).
  Scenario Outline: Streams that began in a release of <replicas> replicas, one each <gap> ms, and that no router remembers
    Given routers that know the span of a route, and one that learns of rows <delay> ms later
    And a release of <replicas> replicas, one each <gap> ms, in which callers with deadlines begin streams
    When their streams are resumed at a router that remembers none
    Then none goes on at another version
    And at least <share> in 100 of all go on

    Examples:
      | replicas | gap  | delay | share |
      | 4        | 1000 | 100   | 50    |
      | 6        | 500  | 0     | 50    |
      | 6        | 800  | 150   | 50    |
      | 15       | 400  | 150   | 50    |
      | 30       | 300  | 150   | 50    |
      | 78       | 150  | 150   | 50    |
      | 78       | 300  | 150   | 50    |
      | 650      | 50   | 150   | 50    |

  # Guards against refusing the streams from before a copy of the store, too, once all routers are lost,
  # and against going on with those that began by proportions that the copy lacks (issue 52).
  Scenario Outline: The store comes back from a copy of <lost> ms in a release, and all routers start anew
    Given routers that know the span of a route, and one that learns of rows 100 ms later
    And a release of <replicas> replicas, one each <gap> ms, in which callers with deadlines begin streams
    And the store comes back from a copy of <lost> ms, and the routers that start write the row
    When their streams are resumed at a router that remembers none
    Then none goes on at another version
    And at least half of those from before the copy go on

    Examples:
      | replicas | gap | lost |
      | 9        | 900 | 3000 |
      | 15       | 500 | 4000 |
      | 30       | 300 | 2000 |
      | 78       | 150 | 6000 |

  # Guards against streams joined whose nominal starts differ from their tries' in what routers know of a span (issue 52).
  Scenario Outline: Streams of callers <callers> go on at no other version
    Given routers that know the span of a route, and one that learns of rows 100 ms later
    And callers <callers> from now on
    And a release of 9 replicas, one each 500 ms, in which callers with deadlines begin streams
    When their streams are resumed at a router that remembers none
    Then none goes on at another version

    Examples:
      | callers                       |
      | that wait for twice as long   |
      | that wait for half as long    |
      | of whom one waits for an hour |
      | that name no deadline         |

  # Guards against nominal starts that routers of an earlier release do not use, beside which a stream's version is that of its begin (issue 52).
  Scenario Outline: A row has spans only where all routers use them: <routers>
    Given routers that know the span of a route, and one that learns of rows 100 ms later
    When for 3000 ms it is so that <routers>
    Then a stream that begins then has a nominal start: <known>

    Examples:
      | routers                                          | known |
      | all routers know nominal starts                  | yes   |
      | a router that does not know them is heard        | no    |
      | a router that does not know them writes the row  | no    |

  # Guards against a wait that routers report to each other for ever, so that a route never has a span again (issue 52).
  Scenario: A caller that waited for an hour is forgotten
    Given routers that know the span of a route, and one that learns of rows 100 ms later
    When a caller waits for an hour at one of them, and 600000 ms pass
    Then a stream that begins then has a nominal start: yes

  # Guards against a step that counts too early or too long, or without what takes its place (issue 52).
  Scenario Outline: A stream that nominally began <age> ms ago, <case>
    Given the steps "<steps>" of a row
    When a stream of a prompt of "<prompt>" nominally began <age> ms ago, and a router is apart since <apart> ms ago
    Then it may be of "<versions>"

    Examples: proportions are AGE_MS=WEIGHTS, and for which prompt by the first and the last of them
      | case                                | steps                                       | prompt | age  | apart | versions |
      | long before the step                | 9000=v1:3 3000=v2:3                         | v1 v2  | 5000 | 0     | v1 v2    |
      | before it, and its version stays    | 9000=v1:3 3000=v1:1,v2:2                    | v1 v2  | 5000 | 0     | v1       |
      | just before it counts               | 9000=v1:3 3000=v1:1,v2:2                    | v1 v2  | 2900 | 0     | v1 v2    |
      | after it, which nobody has confirmed | 9000=v1:3 3000=v1:1,v2:2                   | v1 v2  | 1000 | 0     | v1 v2    |
      | after it, which the next confirms   | 9000=v1:3 3000=v1:1,v2:2 2000=v1:1,v2:3     | v1 v2  | 1000 | 0     | v2       |
      | after it, which its writer confirms | 9000=v1:3 3000/2700=v1:1,v2:2               | v1 v2  | 1000 | 0     | v2       |
      | after it, confirmed late            | 9000=v1:3 3000/800=v1:1,v2:2                | v1 v2  | 1000 | 0     | v1 v2    |
      | after it, and a router is apart     | 9000=v1:3 3000/2700=v1:1,v2:2               | v1 v2  | 1000 | 4000  | v1 v2    |
      | in a gap                            | 9000=v1:3 4000= 2000/1800=v1:3              | v1 v1  | 3000 | 0     | unknown  |
      | after a gap                         | 9000=v1:3 4000= 2000/1800=v1:3              | v1 v1  | 1000 | 0     | v1       |
      | before a gap                        | 9000=v1:3 4000= 2000/1800=v1:3              | v1 v1  | 5000 | 0     | v1       |

  # Guards against a version that loses its replicas and gets the streams of all that it had (issue 52).
  Scenario Outline: Proportions are written for the replicas that are expected: <case>
    Given a service whose replicas were "<before>" 2000 ms ago, and are "<now>"
    When the proportions are written for 2000 ms from now
    Then they are "<written>"

    Examples:
      | case                     | before    | now       | written   |
      | nothing changes          | v1:3,v2:3 | v1:3,v2:3 | v1:3,v2:3 |
      | one loses some           | v1:5,v2:1 | v1:3,v2:3 | v1:1,v2:3 |
      | one has few left         | v1:6,v2:1 | v1:2,v2:5 | v1:1,v2:5 |
      | one is gone              | v1:1,v2:5 | v1:0,v2:6 | v1:0,v2:6 |
      | one has just come        | v1:6      | v1:6,v2:1 | v1:6,v2:1 |
