Feature: Routers that are cut off from all replicas

  A router that has lost its own links to the replicas serves its callers by way of another router.

  # Guards against callers who are refused as their router has lost its own links, while others have
  # theirs (issue 46, rule RECOVER).
  Scenario Outline: Callers of 1 of <routers> routers are served when its connections to replicas <cut>
    Given <routers> routers before 3 replicas of each service
    When the connections of 1 router to all replicas <cut>, and 20 requests are sent to each of them 3 s later
    Then at least two thirds of them succeed at the first try, each run at most once where no more are allowed
    And the streams are in order, and each event came within 300 ms

    Examples:
      | routers | cut                                       |
      | 3       | hang                                      |
      | 3       | are reset                                 |
      | 3       | live on while new ones are refused        |
      | 4       | hang                                      |
      | 4       | are reset                                 |
      | 4       | live on while new ones are refused        |

  # Guards against sound replicas that all routers leave out, since one sees its own link fail.
  Scenario Outline: A link of 1 router whose connections <cut> counts nowhere but there
    Given 3 routers before 3 replicas of each service
    When the connections of 1 router to all replicas <cut>, and 20 requests are sent to all routers 1 s later
    And the link is back for 3 s, and 20 requests are sent to all routers
    Then all of the last ones succeed, and those of each router reach the replicas by its own link
    And no router but the first has ejected or doubted a replica, or refused a request

    Examples:
      | cut                                       |
      | hang                                      |
      | are reset                                 |
      | live on while new ones are refused        |

  # Guards against routers that ask others which are cut off, too, and find none of the few that are not.
  Scenario Outline: Callers of <count> of <routers> routers are served when their connections <cut>
    Given <routers> routers before 3 replicas of each service
    When the connections of <count> routers to all replicas <cut>, and 20 requests are sent to each of them 3 s later
    Then at least two thirds of them succeed at the first try, each run at most once where no more are allowed
    And the streams are in order, and each event came within 300 ms

    Examples:
      | routers | count | cut                                |
      | 5       | 3     | hang                               |
      | 5       | 3     | are reset                          |
      | 4       | 3     | hang                               |
      | 4       | 3     | are reset                          |
      | 4       | 3     | live on while new ones are refused |
      | 2       | 1     | hang                               |

  # Guards against callers who wait for a router that has none to ask.
  Scenario Outline: The only router left refuses soon when its connections <cut>, and serves once its link is back
    Given 2 routers before 2 replicas of each service
    And the second router is killed
    When the connections of 1 router to all replicas <cut>, and 20 requests are sent to each of them 3 s later
    Then none succeeds, and each is refused with 503 within 2000 ms
    And at least two thirds of 20 requests succeed that are sent 3 s after the link is back

    Examples:
      | cut                                |
      | hang                               |
      | are reset                          |
