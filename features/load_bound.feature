Feature: The bound on the load of each replica, with many routers

  Whole fleets of choosers run in virtual time.  Of the requests of any five seconds, at most three in
  a hundred may reach a replica that holds over twice the mean of its service, and three more.

  # Guards against a bound that is taken from the mean of fewer replicas than the rule's.
  Scenario Outline: No replica gets more than its share while a zone is evacuated, <routers> routers
    Given <routers> routers before <replicas> replicas, <rate> requests a second, by the seed <seed>
    When a zone is evacuated from 2 s to 8 s
    And all run for 9 s
    Then no 5 s break the bound on load
    And no request is refused

    Examples:
      | routers | replicas | rate | seed |
      | 8       | 6        | 40   | 1    |
      | 30      | 24       | 86   | 2    |
      | 195     | 78       | 280  | 2    |
      | 390     | 156      | 560  | 1    |

  # Guards against many routers that send a busy subject to one replica before they hear of its load.
  Scenario Outline: No replica gets more than its share of a busy subject, <ratio> of all, <routers> routers
    Given <routers> routers before <replicas> replicas, <rate> requests a second, by the seed <seed>
    When one subject gets <ratio> of the requests from 3 s to 8 s
    And all run for 10 s
    Then no 5 s break the bound on load
    And no request is refused

    Examples:
      | routers | replicas | rate | seed | ratio |
      | 30      | 24       | 86   | 1    | 0.16  |
      | 195     | 78       | 280  | 1    | 0.05  |
      | 195     | 78       | 280  | 2    | 0.16  |
      | 390     | 156      | 560  | 1    | 0.16  |

  Scenario Outline: No replica gets more than its share when <case>, <routers> routers
    Given <routers> routers before <replicas> replicas, <rate> requests a second, by the seed <seed>
    When <event>
    And all run for 9 s
    Then no 5 s break the bound on load
    And no request is refused

    Examples:
      | routers | replicas | rate | seed | case                     | event                                  |
      | 30      | 24       | 86   | 1    | replicas are new         | 5 replicas are added at 2 s            |
      | 195     | 78       | 280  | 1    | replicas are new         | 16 replicas are added at 2 s           |
      | 195     | 78       | 280  | 2    | replicas are back        | 20 replicas start again at 2 s         |
      | 195     | 78       | 280  | 1    | replicas name a limit    | 20 replicas name a limit at 2 s        |
      | 30      | 24       | 86   | 1    | replicas name a limit    | 8 replicas name a limit at 2 s         |
      | 30      | 24       | 86   | 2    | limits end               | 8 replicas name a limit from 2 s to 6 s |
      | 195     | 78       | 280  | 2    | limits end               | 20 replicas name a limit from 2 s to 6 s |
      | 390     | 156      | 560  | 1    | replicas are back        | 40 replicas start again at 2 s         |

  # Guards against a mean taken from reports of before the traffic began.
  Scenario Outline: No replica gets more than its share when traffic begins, <routers> routers
    Given <routers> routers before <replicas> replicas, <rate> requests a second, by the seed <seed>
    When no request comes for 8 s
    And all run for 15 s
    Then no 5 s break the bound on load
    And no request is refused

    Examples:
      | routers | replicas | rate | seed |
      | 195     | 78       | 280  | 1    |
      | 390     | 156      | 560  | 2    |

  # What the replicas without a limit carry comes near the bound; old loads then pass it.
  Scenario Outline: No replica gets more than its share when most replicas name a limit, <routers> routers
    Given <routers> routers before <replicas> replicas, <rate> requests a second, by the seed <seed>
    When 45 replicas name a limit at 2 s
    And all run for 9 s
    Then no 5 s break the bound on load
    And no request is refused

    Examples:
      | routers | replicas | rate | seed |
      | 195     | 78       | 280  | 1    |

  # Guards against a preference for the own zone that fills its replicas beyond the bound.
  Scenario Outline: No replica gets more than its share over long links when <event>, <routers> routers
    Given <routers> routers before <replicas> replicas, <rate> requests a second, by the seed <seed>
    And links of 7.8 ms between the zones, which all routers know
    When <event>
    And all run for 9 s
    Then no 5 s break the bound on load
    And no request is refused

    Examples:
      | routers | replicas | rate | seed | event                                               |
      | 30      | 24       | 86   | 1    | one subject gets 0.16 of the requests from 3 s to 8 s |
      | 195     | 78       | 280  | 2    | one subject gets 0.16 of the requests from 3 s to 8 s |
      | 195     | 78       | 280  | 2    | a zone is evacuated from 2 s to 8 s                 |
      | 195     | 78       | 280  | 1    | 16 replicas are added at 2 s                        |

  # Guards against routers that all leave a slow replica for the same other ones, and all come back.
  Scenario Outline: No replica gets more than its share while replicas slow down and recover, <routers> routers
    Given <routers> routers before <replicas> replicas, <rate> requests a second, by the seed <seed>
    When replicas slow down to 2.5 times and recover, and their answers tell it
    And all run for 9 s
    Then no 5 s break the bound on load
    And no request is refused
    And slow replicas get fewer requests than in a run in which answers tell no speed
    And the mean times of first events and of streams are shorter than in that run

    Examples:
      | routers | replicas | rate | seed |
      | 30      | 24       | 300  | 1    |
      | 30      | 24       | 300  | 2    |
      | 195     | 78       | 900  | 1    |
