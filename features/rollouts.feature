Feature: Roll-outs of a software version under a bound on exposure

  # Guards against an odd order that changes anything, or that is passed over without a sign.
  Scenario Outline: An order with <fields> is <result>
    Given a router that knows an order to v2 within 60 s
    When the row of an order says <fields>
    Then the order is <result>

    Examples:
      | fields                                          | result             |
      | {"service":"lm","to":"v3","duration_s":30}      | v3 within 30000 ms |
      | {"service":"lm","to":"v3","duration_s":0.5}     | v3 within 500 ms   |
      | {"service":"lm","to":"v3"}                      | refused            |
      | {"service":"lm","duration_s":30}                | refused            |
      | {"to":"v3","duration_s":30}                     | refused            |
      | {"service":"till","to":"v3","duration_s":30}    | refused            |
      | {"service":"lm","to":3,"duration_s":30}         | refused            |
      | {"service":"lm","to":"","duration_s":30}        | refused            |
      | {"service":"lm","to":"v3","duration_s":0}       | refused            |
      | {"service":"lm","to":"v3","duration_s":-5}      | refused            |
      | {"service":"lm","to":"v3","duration_s":"60"}    | refused            |
      | {"service":"lm","to":"v3","duration_s":true}    | refused            |
      | {"service":"lm","to":"v3","duration_s":31536000} | refused           |
      | []                                              | refused            |
      | not JSON                                        | refused            |

  # Guards against settings of the bounds that are not read.
  Scenario: The bounds of roll-outs are read from the settings file
    When a settings file sets the exposure share to 0.2, the slack to 10 and the rollback to 3000
    Then the bounds of the settings are 0.2, 10 and 3000
    And a settings file without them leaves roll-outs off

  # Guards against a share that breaks the bound on exposure by the plan alone.
  Scenario Outline: The plan of a bound of <bound> starts with <first> and rises to all
    Given the plan for a bound on exposure of <bound>
    Then its first share is <first>
    And its shares rise to 1 at rising times within the planned time
    And all of them together use less than the bound

    Examples:
      | bound | first |
      | 0.02  | 0.006 |
      | 0.05  | 0.015 |
      | 0.1   | 0.03  |
      | 0.2   | 0.06  |
      | 0.5   | 0.15  |

  # Guards against a verdict by chance, and against one that comes too late for the rollback.
  Scenario Outline: <bad> bad of <answers> beside <other_bad> of <other_answers> give <verdict>
    Given <bad> bad of <answers> answers of the new version on <spread> replicas
    And <other_bad> bad of <other_answers> answers of the other version
    Then the verdict is <verdict>

    Examples:
      | bad | answers | spread | other_bad | other_answers | verdict |
      | 0   | 0       | 4      | 0         | 0             | open    |
      | 0   | 10      | 4      | 0         | 300           | open    |
      | 0   | 60      | 4      | 0         | 2000          | good    |
      | 3   | 3       | 4      | 0         | 100           | open    |
      | 8   | 8       | 4      | 0         | 300           | bad     |
      | 20  | 200     | 4      | 20        | 6000          | bad     |
      | 20  | 200     | 4      | 600       | 6000          | good    |
      | 50  | 50      | 4      | 1000      | 1000          | good    |
      | 25  | 60      | 4      | 0         | 1940          | bad     |
      | 25  | 600     | 1      | 0         | 600           | good    |
      | 12  | 12      | 1      | 0         | 300           | open    |
      | 50  | 500     | 1      | 0         | 600           | bad     |
      | 50  | 80      | 4      | 0         | 20            | bad     |
      | 6   | 60      | 4      | 60        | 2000          | good    |

  # Guards against a version that is slow on one route, and against one that is slow as all are.
  Scenario Outline: First events after <new_ms> ms beside <other_ms> ms give <verdict>
    Given <answers> first events of the new version after <new_ms> ms, and 1000 of the other one after <other_ms> ms
    Then the verdict is <verdict>

    Examples:
      | answers | new_ms | other_ms | verdict |
      | 60      | 100    | 100      | good    |
      | 60      | 120    | 100      | good    |
      | 60      | 300    | 100      | bad     |
      | 12      | 1000   | 100      | bad     |
      | 5       | 1000   | 100      | suspect |
      | 60      | 900    | 900      | good    |
      | 60      | 50     | 100      | good    |

  # Guards against error rates that are only claimed.
  Scenario Outline: A version with failures of <new> beside <other> is condemned in <rate>
    When 300 drawn roll-outs of 100 to 3000 answers with failures of <new> beside <other> are judged after each 5 answers
    Then <rate> of them are condemned

    Examples:
      | new  | other | rate                           |
      | 0    | 0     | none                           |
      | 0.01 | 0.01  | at most 1 in 100               |
      | 0.05 | 0.05  | at most 1 in 100               |
      | 0.3  | 0.3   | at most 1 in 100               |
      | 0.25 | 0.005 | all before the 50th bad answer |
      | 0.5  | 0.05  | all before the 50th bad answer |
      | 1    | 0     | all before the 50th bad answer |

  # Guards against a new version that gets its part by the count of its replicas before its order
  # is known, and against one that is held for ever without an order.
  Scenario: A new version gets nothing until its order may have come
    Given a router with replicas of v1 and roll-outs enabled
    When replicas of v2 appear
    Then no request and no resumable stream goes to v2
    When 3000 ms pass
    Then requests and resumable streams may go to v2

  # Guards against roll-outs that take effect where the settings do not ask for them.
  Scenario: Without a bound on exposure an order changes nothing
    Given a router with replicas of v1 and roll-outs disabled
    When replicas of v2 appear
    Then requests and resumable streams may go to v2
    When an order to v2 within 60 s is read
    Then requests and resumable streams may go to v2

  # Guards against a share that differs between routers, or that is not the one of the plan.
  Scenario: The share is the same at all routers, for requests and for resumable streams
    Given a router with replicas of v1 and roll-outs enabled
    And replicas of v2 and an order to v2 whose roll-out is in progress
    Then 3 in 100 of 20000 requests go to v2, the same ones at another router
    And a request that is tried again goes to v1
    And the row of software versions gives v2 3 in 100

  # Guards against a bound on exposure that breaks as a few prompts make up most of the streams.
  Scenario: A version that has got more than its share pauses
    Given a router with replicas of v1 and roll-outs enabled
    And replicas of v2 and an order to v2 whose roll-out is in progress
    When v2 has answered 80 of 1000 requests
    Then no request and no resumable stream goes to v2
    When v2 has answered 0 of 1000 requests
    Then 3 in 100 of 20000 requests go to v2, the same ones at another router

  # Guards against a verdict that waits for the store.
  Scenario: A router that the store refuses stops using a version by gossip alone
    Given a router with replicas of v1 and roll-outs enabled
    And replicas of v2 and an order to v2 whose roll-out is in progress
    When another router tells that v2 was reverted
    Then no request and no resumable stream goes to v2
    And a state of an earlier step does not bring it back

  # Guards against messages of an earlier release that are refused, or that are not read by one.
  Scenario: Messages with and without roll-outs are read
    Given a message between routers with a roll-out and evidence
    Then its roll-outs are read as they were written
    And without these fields it has no roll-outs
    And a message without roll-outs has none of these fields

  # Guards against a router with outdated knowledge that overwrites the row of a roll-out.
  Scenario: A write for an outdated row fails and brings the row of the store
    Given two routers that read the store, and an order to v2
    When both write what comes next, the second one with outdated knowledge
    Then the store has the later state, and both routers know it

  # Guards against orders for versions that have no replicas, that serve alone, or that are newer.
  Scenario Outline: An order to <to> with replicas of <versions> is <phase>
    Given a router that reads the store, replicas of <versions> and an order to <to>
    When it goes on for 5000 ms
    Then the roll-out to <to> is <phase>

    Examples:
      | versions | to | phase       |
      | v1,v2    | v2 | in_progress |
      | v1       | v2 | in_progress |
      | v2       | v2 | completed   |

  # Guards against a second order that is taken for the first one, or does not begin anew.
  Scenario: A newer order counts
    Given a router that reads the store, replicas of v1,v2 and an order to v2
    When it goes on for 5000 ms
    And the roll-out is reverted
    And a newer order to v2 is read, and it goes on for 1000 ms
    Then the roll-out to v2 is in_progress

  # Guards against a completed order that keeps later releases without an order from being served.
  Scenario: A completed order ends a little after its deadline
    Given a router that reads the store, replicas of v2 and an order to v2
    When it goes on for 75000 ms
    And replicas of v3 appear and 3000 ms pass
    Then requests may go to v3, and the row of software versions counts replicas

  # Guards against a verdict that is lost while the store is away, or by a copy of the store.
  Scenario: A verdict holds while the store is away, and is written again over a copy
    Given a router that reads the store, replicas of v1,v2 and an order to v2
    When it goes on for 5000 ms
    And the store is copied
    And the store goes away, and another router tells that v2 was reverted
    And it goes on for 1500 ms
    Then no request goes to v2, and the store still says in_progress
    When the store is back from a copy of 1500 ms before, and it goes on for 1500 ms
    Then the roll-out to v2 is reverted

  # Guards against a roll-out that starts again, or is forgotten, when all routers were gone.
  Scenario: Routers that all start anew go on with a roll-out
    Given a router that reads the store, replicas of v1,v2 and an order to v2
    When it goes on for 5000 ms
    And all routers start anew
    Then before they have read it, no request goes to v2
    And they know when the order was made, and go on with its share

  # Guards against bounds that break when routers are lost, and against good versions that fail.
  Scenario: 200 drawn roll-outs keep their bounds with a fault at each step
    When 200 drawn roll-outs are played
    Then no bad version breaks its bounds
    And at most 1 in 100 good ones is not completed within its deadline

  # Guards against parts that keep their rules alone, and are not put together in a router.
  Scenario: Whole routers complete a good version
    Given whole routers, replicas of v1, and replicas of v2 that serve
    When both services are ordered to v2
    Then both roll-outs are completed within the deadline, after in_progress

  # Guards against a bad version that whole routers go on using.
  Scenario: Whole routers revert a bad version
    Given whole routers, replicas of v1, and replicas of v2 that fail
    When both services are ordered to v2
    Then both roll-outs are reverted within the deadline, after in_progress
    And v2 got no more requests than the bound on exposure allows, and none after the rollback
