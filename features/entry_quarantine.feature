Feature: Parts of prompts that crash upstreams

  A part that several prompts share may crash each upstream that begins to answer one of them.
  No two of these requests are alike, and sound ones share all their other parts, so the part
  itself must be recognized and held back at every router.

  # Guards against crashes of one upstream after the other by requests that only share a part.
  Scenario Outline: Requests with a part that crashes upstreams are refused, sound ones served
    Given a store, two replicas of each service, and a router
    And 8 replicas crash <point> of an answer to a prompt with the part "bad"
    When 8 requests with the parts "aa,bad" are sent, one each 60 ms, and as many with "aa"
    Then at most 5 replicas crashed
    And the last request with the parts "aa,bad" got 503 and reached no replica
    And the last 3 requests with the parts "aa" were answered with 200

    Examples:
      | point           |
      | before the head |
      | after the head  |
      | after an event  |

  # Guards against an upstream's crash that is not counted since its answer had begun.
  Scenario Outline: A repeated request that crashes upstreams is refused, however late they crash
    Given a store, two replicas of each service, and a router
    And 8 replicas crash <point> of an answer to "/chat/poison"
    When a request to "/chat/poison" is sent 6 times
    Then at most 4 replicas crashed
    And the last status is 503

    Examples:
      | point           |
      | before the head |
      | after the head  |
      | after an event  |
