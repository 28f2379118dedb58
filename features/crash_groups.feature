Feature: Replicas that crash together

  Several replicas crash within milliseconds as requests with a deadly part come together, or for want
  of power.  In the first case few more may reach replicas, in the second one sound ones are served.

  # Guards against groups of requests that crash several replicas time and again, as crashes within
  # milliseconds count as one (the second review's report).
  Scenario Outline: Groups of 10 requests with a deadly part come each <gap> ms
    Given a router before 8 replicas that start again under their ids 500 ms after a crash
    And they crash as they begin to run a request with the part "bad"
    When 5 groups of 10 requests with the parts "aa,bad" are sent, one each <gap> ms, and 5 each with "aa"
    Then at most 3 requests of later groups with the parts "aa,bad" reached replicas
    And the requests of the last 2 groups with the parts "aa" were answered with 200

    Examples:
      | gap  |
      | 1600 |
      | 3200 |

  # Guards against sound requests that are refused for long as their replicas lost power together.
  Scenario: Replicas lose power together while requests with a part that is new wait there
    Given a router before 4 replicas that start again under their ids 500 ms after a crash
    When they lose power while 30 requests with the parts "aa,new" run
    And 6 requests with the parts "aa,new" are sent after 900 ms, one each 200 ms
    Then at most 1 of these was refused, and the others were answered with 200
