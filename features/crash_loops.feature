Feature: Replicas that crash and start again under their ids

  A request may crash each process that runs it, and a replica may crash again and again by itself.
  What is deadly is held back soon, and nothing sound with it.

  # Guards against a request that is let through for ever where replicas start again under their ids
  # (review/9), and against sound ones that are refused as they were broken off by a crash loop.
  Scenario Outline: Of <count> replicas, <loops> crash by themselves: <attempts> attempts a request
    Given a router before <count> replicas that start again under their ids 500 ms after a crash
    And the first <loops> crash as they begin to run anything, and routes allow <attempts> attempts
    When 6 rounds of a deadly request and 5 sound ones are sent to "/once/", with pauses of 700 ms
    Then the deadly request has crashed at most 3 other replicas, and was then refused
    And no sound request was refused as one that crashes upstreams
    And 5 sound ones that are sent to "/once/" 3000 ms later are answered with 200

    Examples:
      | count | loops | attempts |
      | 1     | 0     | 1        |
      | 2     | 0     | 1        |
      | 4     | 0     | 1        |
      | 4     | 0     | 2        |
      | 2     | 1     | 1        |
      | 4     | 1     | 1        |
      | 4     | 1     | 2        |
      | 4     | 2     | 1        |

  # Guards against a sound request that is refused as its only replica crashes by itself.
  Scenario: The only replica of a service crashes by itself
    Given a router before 1 replica that starts again under its id 500 ms after a crash
    And the first 1 crash as they begin to run anything, and routes allow 1 attempts
    When 6 rounds of 2 sound requests are sent to "/once/", with pauses of 700 ms
    Then no sound request was refused as one that crashes upstreams
