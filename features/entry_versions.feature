Feature: Streams go on only at the software version that began them

  What two versions of a back end write does not fit together, and replicas do not check it.

  # Guards against streams joined from two software versions within one answer.
  Scenario Outline: A stream that breaks off goes on at a replica of the same version: <case>
    Given a router before replicas of the versions "<versions>" that break off each new stream
    When a request for a stream is sent to them
    Then the stream is <result>, and goes on at no other version

    Examples:
      | case                              | versions    | result     |
      | there is one of the same version  | v1 v1 v2 v2 | complete   |
      | only itself is of its version     | v1 v2       | complete   |
      | the replicas name no version      | none none   | broken off |

  # Guards against streams that go on at a replica that restarted under its name with other software,
  # a moment before its entry says so (issue 40).
  Scenario Outline: A stream that breaks off goes on only at the process of an entry: <case>
    Given a router before replicas of the versions "v1 v1" that break off each new stream
    And the processes of the replicas are <processes>
    When a request for a stream is sent to them
    Then the caller has a stream that is <result>

    Examples:
      | case                       | processes                                        | result     |
      | both are as they were      | those of their entries                           | complete   |
      | they do not say            | of unknown starts                                | complete   |
      | they say nothing in time   | silent                                           | broken off |
      | both have restarted        | newer ones                                       | refused    |
      | each restarts as it begins | newer ones from the first event on               | complete   |

  # Guards against streams that begin at a replica that restarted under its name, and that a router
  # without memory of them takes up at the version of its old entry (issue 43).
  Scenario Outline: Streams begin only at the process of an entry, if there is one: <case>
    Given a router before replicas of the versions "v1 v1" that break off each new stream
    And the processes of the replicas are <processes>
    When 12 streams of different prompts are sent to them
    Then they began at <count> replicas, and all are <result>

    Examples:
      | case                   | processes                  | count | result     |
      | both are as they were  | those of their entries     | 2     | complete   |
      | the first is a new one | a newer one and an old one | 1     | complete   |
      | both are new ones      | newer ones                 | 0     | refused    |
      | the first is new and refuses the question | a newer one that refuses the question and an old one | 1 | complete |
      | the first is new and its answer is spoilt | a newer one that spoils the answer and an old one    | 1 | complete |

  # Guards against streams that begin at a process of which nobody knows whose it is, and that a
  # router without memory of them takes up at another version (issue 62).
  Scenario Outline: Streams begin at processes that say late whose they are, and at none that say nothing: <case>
    Given a router before replicas of the versions "v1 v1" that break off each new stream
    And the processes of the replicas are those of their entries
    When 12 streams of different prompts are sent to them
    And the processes say it <late> ms late, and 3 more streams are sent to them
    Then these are <result>

    Examples:
      | case           | late | result                |
      | at once        | 0    | complete              |
      | late           | 500  | complete              |
      | far too late   | 4000 | refused, and not run  |

  # Guards against a service whose processes never answer, and so get no streams.
  Scenario: Streams begin at processes of a service of which none ever answers
    Given a router before replicas of the versions "v1 v1" that break off each new stream
    And the processes of the replicas are silent
    When 3 streams of different prompts are sent to them
    Then each has begun, and is broken off

  # Guards against a stream at a sound process that no router can follow, as it was not asked.
  Scenario: A stream that begins behind two replaced processes can be resumed
    Given a router before replicas of the versions "v1 v1 v1" that break off each new stream
    And all processes but the last one are newer than their entries
    When 12 streams of different prompts are sent to them
    Then they began at 1 replicas, and all are complete

  # Guards against streams that begin at a replaced process as there seems to be no other one, and
  # that a router without memory of them takes up at the version of its old entry.
  Scenario: No stream begins at a replaced process, and all go on after all routers were lost
    Given a router before replicas of the versions "v1 v1 v1 v1" that break off each new stream
    And all processes but the last one are newer than their entries
    And another router beside it
    When 12 streams of different prompts are sent to them
    And both are killed and start anew
    Then no stream began at a replaced process, and all go on at the second router

  # Guards against events that were sent before their process ended, are read after it, and are taken
  # for a sign that it lives.
  Scenario: A replica that restarts in place gets no stream because a slow caller reads its older events
    Given a router before a replica that tells no start and restarts as "v2" while a slow caller reads
    When a stream breaks off by the restart, and the slow caller reads on 400 ms later
    Then the caller gets 2 events of "v1"

  # Guards against a replica that is back as another version before its entry says so.
  Scenario Outline: A replica that crashes in a stream is back at once as "<version>"
    Given a router before a replica of "v1" that crashes in a stream, and is "<version>" <delay> ms later
    When a request for a stream is sent to it
    Then the caller gets <events> events of "v1"

    Examples:
      | version | delay | events |
      | v1      | 700   | 6      |
      | v2      | 700   | 2      |

  # Guards against resumptions at a router that did not begin the stream, or that has just started.
  Scenario Outline: A client resumes its streams at another router, <case>
    Given a router before replicas of the versions "v1 v2" that break off each new stream
    And another router beside it
    When 12 streams of different prompts begin at the first router
    And <event>
    And the client resumes all of them at the second router
    Then none goes on at another version, and <result>

    Examples:
      | case                          | event                          | result                           |
      | which asks the first one      | nothing else happens to them   | all go on                        |
      | after the first one was lost  | the first router is killed     | all go on                        |
      | after both were lost          | both are killed and start anew | those that did not move go on    |

  # Guards against streams that begin at another version than the row gives them to, as it has no replica
  # and the row cannot say so, and that no router remembers (issue 49).
  Scenario: A version leaves and comes back while the store takes no writes, and all routers start anew
    Given a router before replicas of the versions "v1 v2" that break off each new stream
    And another router beside it
    And the store takes no writes of routers
    When the replica of "v1" leaves, 12 streams of different prompts begin, and it is back
    And both are killed and start anew
    And the client resumes all of them at the second router
    Then no stream goes on at another version than it began at

  # Guards against streams that a client resumes at another version after their router was lost, or
  # at a router that knows of one version only and asks no other one (issue 43).
  Scenario Outline: Where a stream that is resumed may go on: <case>
    Given the proportions "<steps>"
    And a resuming router that <memory>
    When a client resumes a stream of a prompt that is "<prompt>", <left> ms before its 15 s end
    Then it goes on at "<version>", as it is <source>

    # Steps are AGE_S=VERSION:REPLICAS,..., the oldest first.
    Examples:
      | case                                 | steps                    | memory                | prompt        | left  | version | source                  |
      | one version all the time             | 100=v1:1                 | knows nothing of it   | any           | 12000 | v1      | assigned                |
      | no row is known                      |                          | knows nothing of it   | any           | 12000 | none    | version_unknown         |
      | assigned to the old one all the time | 100=v1:1 20=v1:4,v2:4    | knows nothing of it   | of v1         | 12000 | v1      | assigned                |
      | moved long before it began           | 100=v1:1 20=v1:4,v2:4    | knows nothing of it   | of v2         | 12000 | v2      | assigned                |
      | moved while it may have begun        | 100=v1:1 4=v1:4,v2:4     | knows nothing of it   | of v2         | 9000  | none    | version_ambiguous       |
      | moved just before, routers lag       | 100=v1:1 4=v1:4,v2:4     | knows nothing of it   | of v2         | 11500 | none    | version_ambiguous       |
      | not moved by the same step           | 100=v1:1 4=v1:4,v2:4     | knows nothing of it   | of v1         | 9000  | v1      | assigned                |
      | three versions                       | 90=v1:1 80=v1:2,v2:2,v3:0 | knows nothing of it  | of v2         | 12000 | v2      | assigned                |
      | began here at the new one            | 100=v1:1 4=v1:4,v2:4     | began it at v2        | of v2         | 9000  | v2      | known_here              |
      | began here at the old one            | 100=v1:1 4=v1:4,v2:4     | began it at v1        | of v2         | 9000  | v1      | known_here              |
      | began at a replica without a version | 100=v1:1                 | began it at none      | any           | 9000  | none    | replica_named_no_version |
      | another router began it              | 100=v1:1 4=v1:4,v2:4     | asks one that knows v1 | of v2        | 9000  | v1      | known_to_another_router |
      | no other router knows                | 100=v1:1 4=v1:4,v2:4     | asks one that does not | of v2        | 9000  | none    | version_ambiguous       |
      | one version here, another one began it | 100=v1:1               | asks one that knows v3 | any          | 9000  | v3      | known_to_another_router |
      | one version here, not certain there  | 100=v1:1                 | asks one that knows none | any        | 9000  | none    | replica_named_no_version |
      | one version, no other router knows   | 100=v1:1                 | asks one that does not | any          | 9000  | v1      | assigned                |

  # Guards against streams that are joined after all routers were lost, where callers wait for longer
  # than the time-out of their route (review/4).
  Scenario Outline: How old a stream may be that a client resumes at a router with <known>
    Given the proportions "100=v1:1 4=v1:4,v2:4"
    And a new router with <known>
    When a client resumes a stream of a prompt that moved, on a route of 5 s, with <left> ms left
    Then the resumed stream <result>

    Examples:
      | known                                  | left  | result                       |
      | no deadline                            | 9000  | is refused, as version_ambiguous |
      | no deadline                            | 0     | is refused, as version_ambiguous |
      | a deadline of 15 s here                | 9000  | is refused, as version_ambiguous |
      | a deadline of 15 s here                | 13000 | goes on at v2                |
      | a deadline of 15 s by another router   | 9000  | is refused, as version_ambiguous |
      | a deadline of 15 s by another router   | 13000 | goes on at v2                |
      | a deadline of 15 s by the row          | 13000 | goes on at v2                |
      | a deadline of 15 s here                | 16000 | is refused, as version_ambiguous |
      | a deadline of 15 s here                | 0     | is refused, as version_ambiguous |
      | a deadline of 15 s, 2 minutes ago      | 13000 | is refused, as version_ambiguous |

  # Guards against a stream that is taken for younger than it is, and joined, as its caller named the time
  # that it had left before the request waited at a router that stood still (issue 46).
  Scenario Outline: How old a stream may be that a client resumes at a router that <event>
    Given the proportions "100=v1:1 4=v1:4,v2:4"
    And a new router with a deadline of 15 s here
    And that router <event>
    When a client resumes a stream of a prompt that moved, on a route of 5 s, with 12000 ms left
    Then the resumed stream <result>

    Examples:
      | event                                              | result                           |
      | runs for 0 ms                                      | is refused, as version_ambiguous |
      | runs for 3000 ms                                   | goes on at v2                    |
      | stands still for 3000 ms                           | is refused, as version_ambiguous |
      | stands still for 3000 ms, then runs for 500 ms     | is refused, as version_ambiguous |
      | stands still for 3000 ms, then runs for 3000 ms    | goes on at v2                    |
      | stands still for 3000 ms, then for 3000 ms again   | is refused, as version_ambiguous |

  # Guards against a router that is cut off amid a release, and takes what it has heard for all that
  # there is: it took streams up at the only version that it knew; and against one that the store turns
  # away while other routers read and write the rows (issue 43).  Against streams that a router began by
  # replaced proportions while it was apart, and that are resumed once it is back (issue 49).
  Scenario Outline: Where a stream goes on by rows that may be outdated: <case>
    Given the proportions "<steps>"
    And other routers of which <others>
    And the rows were the newest ones <age> ms ago
    When a client resumes a stream of a prompt that is "<prompt>", 13000 ms before its 15 s end
    Then it goes on at "<version>", as it is <source>

    Examples:
      | case                                | steps                | age   | others                | prompt | version | source            |
      | confirmed lately                    | 100=v1:1             | 2500  | none is known         | any    | v1      | assigned          |
      | not confirmed, alone                | 100=v1:1             | 2501  | none is known         | any    | none    | releases_outdated |
      | not confirmed, one router is silent | 100=v1:1             | 9000  | one of 3 is silent    | any    | none    | releases_outdated |
      | not confirmed, all others are heard | 100=v1:1             | 9000  | all 3 are heard       | any    | v1      | assigned          |
      | not confirmed, but one reads the store | 100=v1:1          | 9000  | all 3 are heard, one reads the store | any | none | releases_outdated |
      | not confirmed, but one that reads the store lags | 100=v1:1 | 9000 | the one of 3 that reads the store was heard 1 s ago | any | none | releases_outdated |
      | not confirmed, many others unknown  | 100=v1:1             | 9000  | 3 are heard of 9      | any    | none    | releases_outdated |
      | not confirmed, one has left         | 100=v1:1             | 9000  | one of 3 has left     | any    | v1      | assigned          |
      | a silent one may lag, prompt moved  | 100=v1:1 8=v1:4,v2:4 | 100   | one of 3 is silent    | of v2  | none    | version_ambiguous |
      | a silent one may lag, not moved     | 100=v1:1 8=v1:4,v2:4 | 100   | one of 3 is silent    | of v1  | v1      | assigned          |
      | none is silent, prompt moved        | 100=v1:1 8=v1:4,v2:4 | 100   | all 3 are heard       | of v2  | v2      | assigned          |
      | one lagged a moment ago, prompt moved | 100=v1:1 8=v1:4,v2:4 | 100 | one of 3 was silent and is back | of v2 | none | version_ambiguous |
      | one lagged a moment ago, not moved  | 100=v1:1 8=v1:4,v2:4 | 100   | one of 3 was silent and is back | of v1 | v1 | assigned      |
      | one lagged, moved before            | 100=v1:1 20=v1:4,v2:4 | 100  | one of 3 was silent and is back | of v2 | v2 | assigned      |
      | one lagged before any such stream   | 100=v1:1 8=v1:4,v2:4 | 100   | one of 3 was silent until 4 s ago | of v2 | v2 | assigned    |
      | one lagged when such a stream began | 100=v1:1 8=v1:4,v2:4 | 100   | one of 3 was silent until 2 s ago | of v2 | none | version_ambiguous |
      | one lagged, and has restarted       | 100=v1:1 8=v1:4,v2:4 | 100   | one of 3 was silent and has restarted | of v2 | none | version_ambiguous |
      | one left, and has started anew      | 100=v1:1 8=v1:4,v2:4 | 100   | one of 3 has left and is back | of v2 | v2  | assigned         |
      | one lagged, as another one tells    | 100=v1:1 8=v1:4,v2:4 | 100   | all 3 are heard, one tells of a silence | of v2 | none | version_ambiguous |
      | one is silent and forgotten         | 300=v1:1 100=v1:4,v2:4 | 100 | one of 3 is silent for two minutes | of v2 | none | version_ambiguous |

  # Guards against a router that is cut off from the others alone, or whose question nobody answers in
  # time: it took streams up by rows that were confirmed before these began, or before they can have
  # begun at another version, as theirs had left since their nominal begin (issue 62).
  Scenario Outline: Where a stream goes on that may have begun after the rows were confirmed: <case>
    Given the proportions "100=v1:1"
    And other routers of which <others>
    And the rows were the newest ones <age> ms ago
    When a client resumes a stream that <began>, and <event>
    Then it goes on at "<version>", as it is <source>

    Examples:
      | case                                         | others             | age  | began                       | event                                | version | source                  |
      | confirmed after its nominal begin, all answer | one of 3 is silent | 600  | nominally began 1000 ms ago | no router knows it 50 ms later       | v1      | assigned                |
      | confirmed before, all answer                 | one of 3 is silent | 601  | nominally began 1000 ms ago | no router knows it 50 ms later       | none    | releases_outdated       |
      | confirmed after its nominal begin            | one of 3 is silent | 600  | nominally began 1000 ms ago | 0                                    | none    | releases_outdated       |
      | confirmed after it can have begun            | one of 3 is silent | 100  | nominally began 1000 ms ago | 0                                    | v1      | assigned                |
      | confirmed as it can have begun               | one of 3 is silent | 101  | nominally began 1000 ms ago | 0                                    | none    | releases_outdated       |
      | confirmed long before                        | one of 3 is silent | 2000 | nominally began 900 ms ago  | 0                                    | none    | releases_outdated       |
      | no other router is known                     | none is known      | 2400 | nominally began 900 ms ago  | 0                                    | none    | releases_outdated       |
      | nobody can have changed the rows             | all 3 are heard    | 2400 | nominally began 900 ms ago  | 0                                    | v1      | assigned                |
      | confirmed again meanwhile                    | one of 3 is silent | 1200 | nominally began 900 ms ago  | the rows are confirmed 700 ms later  | v1      | assigned                |
      | a new row is read meanwhile                  | one of 3 is silent | 1200 | nominally began 100 ms ago  | a row of v2 is read 700 ms later     | none    | version_ambiguous       |
      | an answer comes late                         | one of 3 is silent | 2000 | nominally began 900 ms ago  | a router answers v2 500 ms later     | v2      | known_to_another_router |
      | the rows grow too old meanwhile              | one of 3 is silent | 2000 | nominally began 900 ms ago  | the rows are confirmed 3000 ms later | none    | releases_outdated       |
      | its begin is not known                       | one of 3 is silent | 900  | began at any time           | 0                                    | none    | releases_outdated       |
      | its begin is not known, confirmed again      | one of 3 is silent | 900  | began at any time           | the rows are confirmed 700 ms later  | v1      | assigned                |
      | its begin is not known, an answer comes late | one of 3 is silent | 900  | began at any time           | a router answers v2 500 ms later     | v2      | known_to_another_router |

  # Guards against streams that only a lost router knew, as one version served when they began.
  Scenario Outline: A stream's origin is sent to backup routers: <steps>
    Given the proportions "<steps>"
    And other routers of which all 3 are heard
    When a stream of "v1" begins
    Then 3 routers are sent its version

    Examples:
      | steps                |
      | 100=v1:1             |
      | 100=v1:1 8=v1:4,v2:4 |

  # Guards against proportions that a router reads once, and then trusts while its writes are refused.
  Scenario Outline: A router reads the rows on software versions <when>
    Given a store that refuses <calls>
    When a row with "9=v1:1 0=v1:1,v2:1" is written by another router, and 3 s pass
    Then the router <knows> the row, and rows are known to be current: <current>

    Examples:
      | when                           | calls  | knows          | current |
      | again and again                | none   | knows          | yes     |
      | although its writes fail       | writes | knows          | yes     |
      | and does not trust old ones    | reads  | does not know  | no      |

  # Guards against a deadline in the row that has expired, or is too short, when all routers start
  # anew: they take streams for older, or for younger, than they can be (issue 49).
  Scenario Outline: A router that reads the store writes the row again for its longest deadline: <case>
    Given a store that refuses <calls>
    And its row has <stored>
    When callers name <named>, and <span> s pass
    Then the row has <deadline>
    And the row was written <writes> times for that

    Examples:
      | case                           | calls         | stored                | named                    | span | deadline                                   | writes   |
      | there is none                  | none          | no deadline           | none                     | 60   | no deadline                                | 0 to 0   |
      | the first one                  | none          | no deadline           | 15 s once                | 10   | a deadline of 15 s, named at most 10 s ago  | 1 to 1   |
      | a longer one                   | none          | 15 s, named 10 s ago  | 600 s once               | 10   | a deadline of 600 s, named at most 10 s ago | 1 to 1   |
      | a shorter one                  | none          | 600 s, named 10 s ago | 15 s each second         | 30   | a deadline of 600 s, named at most 45 s ago | 0 to 0  |
      | the same one, named lately     | none          | 15 s, named 10 s ago  | 15 s once                | 10   | a deadline of 15 s, named at most 25 s ago | 0 to 0   |
      | the same one, named before     | none          | 15 s, named 90 s ago  | 15 s once                | 10   | a deadline of 15 s, named at most 10 s ago  | 1 to 1   |
      | the same one, expired          | none          | 15 s, named 500 s ago | 15 s once                | 10   | a deadline of 15 s, named at most 10 s ago  | 1 to 1   |
      | a longer one, expired          | none          | 60 s, named 500 s ago | 15 s once                | 10   | a deadline of 15 s, named at most 10 s ago  | 1 to 1   |
      | the same one again and again   | none          | 15 s, named 10 s ago  | 15 s each second         | 180  | a deadline of 15 s, named at most 61 s ago | 2 to 3   |
      | nobody names the row's         | none          | 15 s, named 90 s ago  | none                     | 60   | a deadline of 15 s, named at most 155 s ago | 0 to 0   |
      | a longer one each second       | none          | 15 s, named 10 s ago  | a longer one each second | 31   | a deadline of 41 s, named at most 5 s ago  | 6 to 7   |
      | the write is refused           | writes        | no deadline           | 15 s once                | 31   | no deadline                                | 6 to 7   |
      | another router writes just then | one lost race | 15 s, named 10 s ago | 600 s once               | 10   | a deadline of 600 s, named at most 10 s ago | 2 to 2   |

  # Guards against streams that a router began by replaced proportions while it was apart, and that are
  # resumed after all routers have started anew, so that none remembers its silence (issue 49).
  Scenario Outline: All routers start anew after one was silent <silence>: <case>
    Given a store that refuses none
    When a router is silent <silence>, the proportions change after <change> ms, and <span> ms pass
    Then it goes on at "<version>", as it is <source>
    And the row was written <writes> times

    Examples:
      | case                                   | silence              | change | span  | version | source            | writes |
      | it was not                             | never                | 5000   | 9500  | v2      | assigned          | 1 to 1 |
      | it is back                             | from 2000 to 8000 ms | 5000   | 9500  | none    | version_ambiguous | 1 to 1 |
      | it is still                            | from 2000 ms         | 5000   | 9500  | none    | version_ambiguous | 1 to 1 |
      | it is for long                         | from 2000 ms         | 5000   | 60000 | none    | version_ambiguous | 9 to 11 |
      | it fell silent a moment before         | from 2000 to 8000 ms | 2500   | 9500  | none    | version_ambiguous | 2 to 2 |
      | it was back before the proportions changed | from 1000 to 4000 ms | 6000 | 9500 | v2    | assigned          | 1 to 1 |
      | it was back before such a stream began | from 1000 to 5000 ms | 3000   | 18500 | v2      | assigned          | 1 to 1 |

  # Guards against a replica that comes back with other software while the store is away, and is trusted
  # by its old entry once a request succeeds (KNOWN-RED, the review's case of commit ecadb0e), and
  # against replicas that come back and never get the streams that would show them to be sound.
  Scenario Outline: Which replicas may take a stream of "v1": <case>
    Given a router before replicas r0 and r1 of "v1" and r2 of "v2"
    When "<event>" happens
    Then a stream that "v1" <state> may go to "<replicas>"

    Examples:
      | case                                      | event                   | state       | replicas |
      | it begins                                 | nothing                 | is to begin | r0 r1    |
      | it goes on                                | nothing                 | has begun   | r0 r1    |
      | it begins, one may have restarted         | r0 was unreachable      | is to begin | r0 r1    |
      | it goes on, one may have restarted        | r0 was unreachable      | has begun   | r1       |
      | it goes on, one answers again             | r0 answers again        | has begun   | r1       |
      | it begins, one answers again              | r0 answers again        | is to begin | r0 r1    |
      | it goes on, one has written its entry     | r0 writes again         | has begun   | r0 r1    |
      | it goes on, another router reports it     | n1 reports r0           | has begun   | r1       |
      | it goes on, one broke an answer off       | r0 broke off            | has begun   | r1       |
      | it goes on, one broke off, long confirmed | r0 broke off long ago   | has begun   | r0 r1    |
      | it goes on, one broke off, events follow  | r0 broke off one answer | has begun   | r1       |
      | it goes on, another router saw it end one | n1 saw r0 end one       | has begun   | r1       |
      | it goes on, one ended an idle connection  | r0 ended an idle one    | has begun   | r1       |
      | it goes on, one ended it after its time   | r0 ended it late        | has begun   | r0 r1    |
      | it goes on, the router stood still        | a standstill            | has begun   | none     |
      | it goes on, long after a standstill       | a standstill long ago   | has begun   | r0 r1    |
      | it goes on, all broke an answer off       | r0 and r1 broke off     | has begun   | none     |
      | it begins, one broke an answer off        | r0 broke off            | is to begin | r0 r1    |
      | one has come back with another version    | r0 is back as v2        | has begun   | r1       |
      | one changes its entry                     | r0 says v3              | is to begin | r1       |
      | one names no version any more             | r0 says nothing         | has begun   | r1       |
      | all others have left                      | r1 and r2 have left     | is to begin | r0       |

  Scenario: Proportions are the same at every router, and move few prompts
    Given the proportions "10=v1:8,v2:1"
    When a replica of "v2" takes the place of one of "v1"
    Then at most 150 of 1000 prompts move, all of them to "v2"
    And the row reads back as it was written

  Scenario Outline: Which proportions are written: <case>
    Given the proportions "<steps>"
    When the usable replicas are "<replicas>"
    Then the proportions to write are "<written>"

    Examples:
      | case                                     | steps                | replicas  | written                 |
      | the first row                            |                      | v1:3      | 0=v1:1                  |
      | one version, another number of replicas  | 10=v1:1              | v1:9      |                         |
      | a second version                         | 10=v1:1              | v1:8,v2:1 | 10=v1:1 0=v1:8,v2:1     |
      | none can be used                         | 10=v1:1              |           |                         |
      | steps of which no stream is left         | 700=v1:1 670=v1:1,v2:1 | v2:2    | 670=v1:1,v2:1 0=v2:1    |
      | steps of which streams may be left       | 620=v1:1 600=v1:1,v2:1 | v2:2    | 620=v1:1 600=v1:1,v2:1 0=v2:1 |

  Scenario Outline: A row of a store that was restored from a copy adds to what is known: <case>
    Given the proportions "20=v1:1 5=v1:4,v2:4"
    When the store of era <era> tells the row version <number> with "<row>"
    Then a prompt of "v2" began at "<versions>"

    Examples:
      | case                   | era | number | row     | versions |
      | an older copy          | 1   | 1      | 20=v1:1 | v1 v2    |
      | no row                 | 1   | 0      |         | v1 v2    |
      | an older row           | 0   | 1      | 9=v3:1  | v1 v2    |
      | a newer row            | 0   | 3      | 9=v3:1  | v3       |

  # Guards against a first row of a restored store that is taken for the whole history (issue 49).
  Scenario Outline: The first row in a store of era <era>
    Given the proportions ""
    And the store is in era <era>
    When the usable replicas are "v1:3"
    Then the proportions to write are "0=v1:1", and those of before are <before>

    Examples:
      | era | before  |
      | 0   | certain |
      | 1   | certain |
      | 2   | unknown |
