Feature: Upstreams that fail if they have to reject too many requests

  Whole fleets of choosers run in virtual time before replicas that become brittle: from 3 s later on no
  request may wait there, and one that rejects more than its limit in a second falls over for 4 s.

  # Guards against routers that send more than all of them together have places for.
  Scenario Outline: Brittle replicas do not fall over: <routers> routers, <ratio> times what they can run, <loads>
    Given <routers> routers before <replicas> brittle replicas of <slots> slots, by the seed <seed>
    And they can reject <limit> requests a second, and answers <loads>
    When <ratio> times what they can run comes for 14 s, and they are brittle from 3 s on
    Then at most 2 falls and a tenth of the number of replicas are seen
    And from 6 s on at least 0.8 of the slots run requests

    Examples:
      | routers | replicas | slots | limit | ratio | seed | loads         |
      | 3       | 6        | 16    | 3     | 1.5   | 1    | tell loads    |
      | 3       | 6        | 16    | 3     | 2.0   | 2    | tell no loads |
      | 6       | 12       | 16    | 3     | 2.0   | 1    | tell loads    |
      | 6       | 12       | 8     | 1     | 1.5   | 2    | tell no loads |
      | 30      | 24       | 16    | 3     | 1.5   | 1    | tell loads    |
      | 30      | 24       | 16    | 3     | 2.0   | 2    | tell no loads |
      | 60      | 100      | 8     | 2     | 1.7   | 1    | tell loads    |

  # Guards against refusals for want of a place of the own while the replicas are idle.
  Scenario Outline: Routers with few places of their own use idle ones, <routers> routers, <ratio> of the load
    Given <routers> routers before <replicas> brittle replicas of <slots> slots, by the seed 1
    And they can reject 2 requests a second, and answers tell loads
    When <ratio> times what they can run comes for 12 s, and they are brittle from 3 s on
    Then at most 2 falls and a tenth of the number of replicas are seen
    And at most <refused> of the requests are refused

    Examples:
      | routers | replicas | slots | ratio | refused |
      | 6       | 12       | 16    | 0.5   | 0.01    |
      | 90      | 20       | 8     | 0.3   | 0.1     |
      | 390     | 20       | 8     | 0.3   | 0.25    |

  # Guards against routers that use idle places all at once when the load rises.
  Scenario Outline: Brittle replicas do not fall over when the load rises tenfold, <routers> routers
    Given <routers> routers before <replicas> brittle replicas of <slots> slots, by the seed 1
    And they can reject 2 requests a second, and answers tell no loads
    When 0.2 times what they can run comes for 10 s, and ten times as much from 6 s on, while they are brittle
    Then at most 2 falls and a tenth of the number of replicas are seen

    Examples:
      | routers | replicas | slots |
      | 6       | 12       | 16    |
      | 90      | 20       | 8     |
      | 390     | 20       | 8     |

  # Guards against routers that know nothing of brittle replicas, or count too few others, at their start.
  Scenario Outline: Brittle replicas do not fall over when <count> of <routers> routers start anew
    Given <routers> routers before <replicas> brittle replicas of <slots> slots, by the seed 1
    And they can reject 2 requests a second, and answers tell loads
    When 1.5 times what they can run comes for 10 s, and <count> routers start anew at 6 s, while they are brittle
    Then at most 2 falls and a tenth of the number of replicas are seen

    Examples:
      | routers | replicas | slots | count |
      | 3       | 6        | 16    | 1     |
      | 30      | 24       | 16    | 10    |

  # Guards against a rejection that only the router that saw it heeds.
  Scenario Outline: One rejection holds back all of <routers> routers for a second, not longer
    Given <routers> routers before 6 brittle replicas of 800 slots, by the seed 1
    And they can reject 3 requests a second, and answers tell no loads
    When a router's request is rejected by "r0" at 2000 ms
    Then <routers> routers send nothing to "r0" at <known> ms, and 0 at 3100 ms
    And 0 routers send nothing to "r1" at <known> ms

    Examples:
      | routers | known |
      | 3       | 2010  |
      | 90      | 2200  |
      | 390     | 2250  |

  Scenario Outline: What a router makes of the answers of a service's replicas: <case>
    Given a router before replicas that have named no rejections
    When it learns of "<history>" about rejections
    Then the service can bear "<limit>" rejections a second

    # An item is MS:named:LIMIT for an answer, MS:plain:SENT_MS for an answer without a limit to a
    # request sent then, MS:reported:LIMIT:AGE_MS for another router's report, and MS:nothing.
    Examples:
      | case                                       | history                                   | limit |
      | a limit in an answer                       | 0:named:3                                 | 3     |
      | no rejection at all                        | 0:named:0                                 | 0     |
      | one of the others has not named it yet     | 0:named:3 500:plain:450                   | 3     |
      | answers without it for long                | 0:named:3 3200:plain:3100                 | none  |
      | an answer from before it was named again   | 0:named:3 3000:named:3 3200:plain:3100    | 3     |
      | another router's report                    | 0:reported:2:20                           | 2     |
      | an older report changes nothing            | 500:named:3 600:reported:9:400            | 3     |
      | a report from before it was lifted         | 0:named:3 3200:plain:3100 3300:reported:3:900 | none |
      | nothing confirms it for long               | 0:named:3 60000:nothing                   | none  |
      | a report that is too old                   | 70000:reported:3:65000                    | none  |

  Scenario Outline: A router's places at a replica of <slots> slots: <case>
    Given <routers> routers that share the places of a replica of <slots> slots
    When <event>
    Then their places at it are <places> together, and at most <most> for each

    Examples:
      | case               | routers | slots | event                          | places | most |
      | a small fleet      | 3       | 16    | all hear each other            | 16     | 6    |
      | a large fleet      | 90      | 16    | all hear each other            | 16     | 1    |
      | alone              | 1       | 16    | all hear each other            | 16     | 16   |
      | just started       | 3       | 16    | they have just started         | 0      | 0    |
      | cut off            | 3       | 16    | each hears no other one        | 0      | 0    |
      | an answer of fewer | 3       | 16    | an answer tells of 6 slots     | 6      | 2    |
      | requests wait      | 3       | 16    | an answer tells of waiting ones | 0     | 0    |

  # Guards against requests of which no log says why they were refused or sent elsewhere.
  Scenario: Log, metrics and commands say that replicas can bear few rejections
    Given a store, two replicas of each service, and a router
    And the replicas "till-1,till-2" can bear 3 rejections a second, and reject the next request
    When 2 requests to "/check/a" are sent
    Then the last one got 503 at once, as "upstreams_saturated"
    And explaining it shows the lines "rejection_limit_named,upstream_rejected"
    And the metrics and the fleet command show 3 rejections for "till"
