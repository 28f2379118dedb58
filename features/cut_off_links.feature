Feature: Links of routers that are cut and come back, under load

  # Guards against half a single answer without a length that looks complete: the connection that is to
  # show that its process lives went another way than the answer, whose link had ended.
  Scenario Outline: A single answer without a length does not look complete when its <way> ends in order
    Given 3 routers before 2 replicas of each service that send unframed answers of 40 parts
    When the <way> of a single answer takes no new connection, and ends the open ones within it
    Then the single answer does not look complete

    Examples:
      | way   |
      | link  |
      | relay |

  # Guards against a router that goes on using relays, as each relayed connection counts against its
  # link.
  Scenario Outline: A router whose link is back uses it again while <rate> requests a second come
    Given 4 routers before 4 replicas of each service that send unframed answers of 3 parts
    When a router is cut off for 2 s while <rate> requests a second come to it, and its link is back for 4 s
    Then its link is in use again

    Examples:
      | rate |
      | 4    |
      | 20   |

  # Guards against routers that are cut off, do not know it yet, and say of replicas that they are gone.
  Scenario: Six of seven routers that are cut off at once eject no replica at the seventh
    Given 7 routers before 2 replicas of each service
    When the connections of 6 routers to all replicas are reset, and 8 requests are sent to each of them 0 s later
    Then the seventh router has doubted no replica
