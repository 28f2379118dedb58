Feature: Limits that upstreams name on the requests a second from all routers together

  A share is a token bucket of a few routers, so that the sum holds whatever their number.

  # Guards against routers that each keep to a limit by themselves while their sum exceeds it.
  Scenario Outline: <routers> routers together use a limit of <limit> a second and keep to it, <case>
    Given <routers> routers before an upstream that names a limit of <limit> a second
    When each of them sends what it may for <before> s
    And <event>
    And each of them sends what it may for 12 s
    Then no 4 s hold more than 1.5 times what the limit allows and 5 more
    And the last 10 s use at least <used> of the limit

    Examples:
      | routers | limit | before | event                                             | used | case                |
      | 1       | 3.0   | 8      | nothing else happens                              | 0.9  | alone               |
      | 2       | 0.5   | 8      | nothing else happens                              | 0.7  | a small limit       |
      | 6       | 3.0   | 8      | nothing else happens                              | 0.8  | in steady state     |
      | 6       | 40.0  | 8      | nothing else happens                              | 0.9  | a large limit       |
      | 390     | 3.0   | 4      | nothing else happens                              | 0.7  | in steady state     |
      | 6       | 3.0   | 8      | 2 routers start anew, knowing 3 others            | 0.7  | some just started   |
      | 390     | 3.0   | 4      | 200 routers start anew, knowing 3 others          | 0.3  | many just started   |
      | 6       | 3.0   | 8      | 2 routers wake after 40 s                         | 0.7  | some woken          |
      | 90      | 3.0   | 4      | 60 routers wake after 40 s                        | 0.4  | most woken          |
      | 6       | 3.0   | 8      | 2 routers are cut off for 40 s                    | 0.7  | some cut off        |
      | 90      | 3.0   | 4      | 45 routers are cut off for 40 s                   | 0.0  | a half cut off      |
      | 6       | 3.0   | 8      | the upstream gets nothing for 70 s                | 0.8  | after a long pause  |
      | 90      | 3.0   | 4      | the upstream gets nothing for 70 s                | 0.5  | after a long pause  |
      | 6       | 3.0   | 8      | the upstream gets nothing for 700 s               | 0.8  | after a longer one  |

  Scenario Outline: What a router makes of the answers of an upstream: <case>
    Given a router before an upstream that has named no limit
    When it learns of "<history>"
    Then the upstream has the limit "<limit>"

    # An item is MS:named:LIMIT for an answer, MS:plain:SENT_MS for an answer without a limit to a
    # request sent then, MS:reported:LIMIT:AGE_MS for another router's report, and MS:nothing.
    Examples:
      | case                                        | history                                | limit |
      | a limit in an answer                        | 0:named:3                              | 3.0   |
      | the newest limit counts                     | 0:named:3 100:named:2.5                | 2.5   |
      | an answer without a limit lifts it          | 0:named:3 200:plain:100                |       |
      | an answer from before does not lift it      | 100:named:3 200:plain:50               | 3.0   |
      | another router's report                     | 0:reported:3:20                            | 3.0   |
      | an older report changes nothing             | 500:named:3 600:reported:9:400             | 3.0   |
      | a report lifts an older limit               | 0:named:3 500:reported:none:100            |       |
      | a report of a limit older than the lifting  | 0:named:3 200:plain:150 300:reported:3:200 |       |
      | a limit that nothing has confirmed lately   | 0:named:3 600000:nothing               | 3.0   |
      | a report of one that nothing has confirmed  | 70000:reported:3:65000                     | 3.0   |
      | the upstream is gone                        | 0:named:3 1000:gone 60000:nothing          |       |
      | the upstream was gone for a moment          | 0:named:3 1000:gone 9000:back              | 3.0   |
      | an old report long after the lifting        | 0:named:3 200:plain:150 90000:reported:3:89900 |   |

  # Guards against an upstream that can never lift its limit, as it gets nothing to answer.
  Scenario: An upstream that names a limit of 0 is tried about once a minute
    Given 6 routers before an upstream that names a limit of 0.0 a second
    When each of them sends what it may for 300 s
    Then it gets between 2 and 6 requests

  # Guards against a limited upstream that is chosen although others may take the request.
  Scenario: Requests over a limit go to another upstream, and are refused at once without one
    Given a router among 0 others before 2 replicas, by the seed 1
    When the replica that a chat prefers names a limit of 0.5 a second
    Then of 12 requests of the chat, one each 170 ms, the replica gets at most 5
    And the others go to the other replica, with "upstreams_limited" as the reason
    When the other replica names a limit of 0.5 a second too
    Then a request of the chat finds no upstream, with the reason "upstreams_limited"

  # Guards against replicas that are swamped by what others, which name a limit, do not take.
  Scenario Outline: What a limited replica does not take goes to another one while that has room
    Given a router among 0 others before 2 replicas, by the seed 1
    When the replica that a chat prefers names a limit of 0.5 a second
    And the other replica runs <running> requests in its 64 slots
    Then a request of the chat gets "<result>"

    Examples:
      | running | result            |
      | 63      | the other replica |
      | 64      | upstreams_limited |

  # Guards against a lower bound after limits: all replicas count as busy, and chats leave for nothing.  That
  # no replica is filled beyond the stated bound after limits is checked in load_bound.feature.
  Scenario Outline: A chat stays with a holder that has more than its part of the load: <limits>
    Given a router among 0 others before 4 replicas, by the seed 1
    When the replica that a chat prefers holds its prefix and runs 16 requests, the others 10 each
    And <limits>
    Then the chat stays with it: <stays>

    Examples:
      | limits                                   | stays |
      | no upstream named a limit                | yes   |
      | an upstream named a limit, and lifted it | yes   |

  # Guards against a seed that is counted as a router of its own beside the router at its address.
  Scenario Outline: A seed is the router at its address, found <how>
    Given a router with the seeds "127.0.0.2:7340,127.0.0.3:7340"
    When the router "n2" at "127.0.0.2:7340" is found <how>
    Then the router counts 3 routers

    Examples:
      | how          |
      | in the store |
      | by gossip    |

  # Guards against requests of which no log says why they were refused or sent elsewhere.
  Scenario: Log, metrics and commands say what held a request back
    Given a store, two replicas of each service, and a router
    And the replicas "till-1,till-2" name a limit of 0.5 a second
    When 4 requests to "/check/a" are sent
    Then the last one got 503 at once, as "upstreams_limited"
    And explaining it shows when "till-1" and "till-2" named their limits
    And the metrics and the fleet command show the limits
