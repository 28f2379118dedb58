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
