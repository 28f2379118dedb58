Feature: Relays between routers that are cut off and replicas

  A router that is cut off reaches replicas by way of another router, which may fail on its part.

  # Guards against an answer that ends with the router in the middle and looks complete, and
  # against callers who are refused as one of several relays is lost (issue 46, rule RECOVER).
  Scenario Outline: The relay of <kind> answer of <path> <fault>, for an HTTP/<http> caller
    Given 4 routers before 2 replicas of each service that send <kind> answers of 40 parts
    When 1 router is cut off, and its relay <fault> after 5 parts of an answer of "<path>" to an HTTP/<http> caller
    Then the answer does not look complete unless it is whole
    And a stream that may be resumed goes on, or is taken up to its end
    And at least two thirds of 12 requests succeed that are sent to the router 1 s later

    Examples:
      | path     | kind     | http | fault                              |
      | /chat/a  | framed   | 1.1  | is killed                          |
      | /chat/a  | framed   | 1.1  | is frozen                          |
      | /chat/a  | framed   | 1.1  | stops                              |
      | /chat/a  | framed   | 1.1  | is cut off, its connections hang   |
      | /chat/a  | framed   | 1.1  | is cut off by resets               |
      | /chat/a  | unframed | 1.1  | is killed                          |
      | /chat/a  | unframed | 1.0  | is killed                          |
      | /once/a  | framed   | 1.0  | is killed                          |
      | /once/a  | unframed | 1.0  | is killed                          |
      | /once/a  | unframed | 1.1  | stops                              |
      | /once/a  | unframed | 1.1  | is frozen                          |
      | /once/a  | unframed | 1.0  | is cut off by resets               |
      | /check/a | unframed | 1.1  | is killed                          |
      | /check/a | unframed | 1.0  | is killed                          |
      | /check/a | unframed | 1.1  | is cut off by resets               |
      | /check/a | unframed | 1.1  | stops                              |

  # Guards against replicas that work on for a caller who has left, as a relay holds the connection.
  Scenario Outline: A replica learns that a caller of <path> has left whose router's connections <cut>
    Given 3 routers before 2 replicas of each service that send <kind> answers of 80 parts
    When the connections of 1 router <cut>, and a caller of "<path>" leaves after 5 parts
    Then the replica saw the end of the request within 500 ms

    Examples:
      | path     | kind     | cut                                |
      | /chat/a  | framed   | hang                               |
      | /once/a  | framed   | are reset                          |
      | /once/a  | unframed | live on while new ones are refused |
      | /check/a | unframed | hang                               |

  # Guards against a router in the middle that buffers what a caller does not read.
  Scenario: A caller that reads nothing holds up the replica, also by way of another router
    Given 3 routers before 1 replicas of each service that send large answers of 5000 parts
    When 1 router is cut off, and a caller of "/once/a" reads nothing for 4 s
    Then the replica has made at most 48 MB of 100 MB

  # Guards against callers held to their deadlines by routers that ask each other in vain.
  Scenario Outline: All replicas <fault>: requests are refused soon, and served once replicas are back
    Given 3 routers before 2 replicas of each service
    When all replicas <fault>, and 8 requests are sent to each router 3 s later
    Then none succeeds, and each is refused with 503 within 2500 ms
    And at least two thirds of 20 requests to each router succeed 5 s after they are back

    Examples:
      | fault               |
      | crash               |
      | hang for all        |

  # Guards against a caller who poses as a router, and reaches what only routers may.
  Scenario Outline: A request to relay to <target> that comes to the <port> is refused
    Given 2 routers before 2 replicas of each service
    When a request to relay to <target> comes to the <port> of a router
    Then it is refused, no connection is made for it, and the router serves on

    Examples:
      | target                                | port          |
      | a replica                             | callers' port |
      | a port that is no replica's           | callers' port |
      | a port that is no replica's           | peers' port   |
      | an unknown replica                    | peers' port   |
      | the store                             | peers' port   |
      | another router's callers' port        | peers' port   |
      | its own peers' port                   | peers' port   |
      | a replica under another one's name    | peers' port   |
      | a port of 0                           | peers' port   |
      | a port that is a text                 | peers' port   |
      | a host name for a replica             | peers' port   |
      | a replica within an endless time      | peers' port   |
      | too few values                        | peers' port   |
      | a frame that breaks off               | peers' port   |
      | a frame without end                   | peers' port   |

  Scenario: A request of a router to relay to a replica is served
    Given 2 routers before 2 replicas of each service
    When a request to relay to a replica comes to the peers' port of a router
    Then it is connected, and the replica answers

  # Guards against a router whose own callers are refused, or that ends, because of what is held open or
  # broken off at its peers' port.
  Scenario Outline: A router serves its callers beside <count> requests to relay that are <state>
    Given 2 routers before 2 replicas of each service
    When <count> requests to relay to a replica come to a router, which are <state>
    Then at least 12 of 12 requests of its callers succeed, and later requests to relay are served

    Examples:
      | count | state                  |
      | 300   | held open              |
      | 300   | broken off in a frame  |
      | 100   | reset at once          |

  # Guards against a router that never had links of its own, and so takes all replicas for dead.
  Scenario Outline: Callers of a router that starts while its connections <cut> are served
    Given 3 routers before 3 replicas of each service
    When another router starts whose connections <cut>, and 20 requests are sent to it 1 s later
    Then at least two thirds of them succeed at the first try, each run at most once where no more are allowed
    And the streams are in order, and each event came within 300 ms

    Examples:
      | cut                                |
      | hang                               |
      | are reset                          |

  # Guards against all replicas of a zone that are left out, as one router has lost its links to them.
  Scenario Outline: A router whose connections to the replicas of one zone <cut> serves, and others do, too
    Given 3 routers before 4 replicas of each service, half of them in each of 2 zones
    When the connections of 1 router to one zone's replicas <cut>, and 20 requests are sent to all routers 3 s later
    Then at least two thirds of them succeed at the first try, each run at most once where no more are allowed
    And the streams are in order, and each event came within 300 ms
    And no router but the first has ejected or doubted a replica, or refused a request

    Examples:
      | cut                                |
      | hang                               |
      | are reset                          |
      | live on while new ones are refused |

  # Guards against streams joined from two software versions, as their router saw no replica itself.
  Scenario Outline: Streams that begin through a router that is cut off go on only at their version: <case>
    Given 4 routers before replicas of the versions v1 and v2
    When 1 router is cut off, and 12 streams begin there of which each has 3 events
    And <event>, and the streams are taken up at another router
    Then each goes on to its end at the version that began it

    Examples:
      | case                      | event                       |
      | their callers move        | their callers leave         |
      | the router is killed      | the router is killed        |
      | their relays are killed   | all of its relays are killed |

  # Guards against callers who are refused, and sound replicas that all leave out, as the routers that
  # could relay stop or stand still at once (day stranded-reset: four drain while two are cut off).
  Scenario Outline: Callers of a router whose connections <cut> are served while all others <fault>
    Given 3 routers before 2 replicas of each service that send framed answers of 80 parts
    When the connections of 1 router <cut>, and all others <fault>
    Then at least two thirds of 12 requests succeed that are sent to the router 0 s later
    And no router but the first has ejected or doubted a replica, or refused a request
    And at least two thirds of 12 requests succeed once one of them has started again

    Examples:
      | cut       | fault                                     |
      | hang      | stop, each with a stream under way        |
      | are reset | stop, each with a stream under way        |

  # Guards against replicas that a router takes for dead, and tells others so, as those it asks are silent.
  Scenario Outline: A router whose connections <cut> takes no replica for dead while all others stand still
    Given 3 routers before 2 replicas of each service
    When the connections of 1 router <cut>, and all others stand still for 2 s, with 8 requests to the first
    Then at least two thirds of 12 requests succeed that are sent to the router 1 s later
    And no router but the first has ejected or doubted a replica, or refused a request

    Examples:
      | cut       |
      | hang      |
      | are reset |
