Feature: Random runs of whole entry routers on a virtual network

  Scenario Outline: A random run of entry routers with seed <seed>
    When entry routers run for <span> virtual seconds with seed <seed>
    Then no invariant was violated

    Examples:
      | seed | span |
      | 1    | 15   |
      | 2    | 15   |
      | 10   | 15   |

  # Guards against upstreams that get more requests than they take from all routers together.
  Scenario Outline: Replicas that name a limit get no more from all routers, seed <seed>
    When entry routers run for <span> virtual seconds with seed <seed> and only the faults "name_limit"
    Then no invariant was violated

    Examples:
      | seed | span |
      | 1    | 20   |
      | 2    | 20   |

  # Guards against routers that take the rows of a restored store for old ones.
  Scenario Outline: Routers follow a store that is restored from an older copy, seed <seed>
    When entry routers run for <span> virtual seconds with seed <seed> and only the faults "<faults>"
    Then no invariant was violated

    Examples:
      | seed | span | faults                                     |
      | 4    | 25   | restore_store                              |
      | 1    | 25   | restore_store,drain_replica                |
      | 6    | 25   | restore_store,partition_router,kill_router |

  # Guards against routers that rely on the messages of one whose rows they cannot get, and so send
  # to a zone that was evacuated and is back, with cold replicas.
  Scenario Outline: Cold replicas are not overrun amid cuts and kills of routers, seed <seed>
    When entry routers run for <span> virtual seconds with seed <seed> and only the faults "<faults>"
    Then no invariant was violated

    Examples:
      | seed | span | faults                                     |
      | 25   | 25   | partition_router,kill_router               |
      | 29   | 25   | partition_router,kill_router               |
      | 9    | 25   | restore_store,partition_router,kill_router |
      | 12   | 25   | restore_store,partition_router,kill_router |

  # Guards against routers that go on with old rows while one reads the store that they hear only.
  Scenario Outline: Rows arrive where the reader of the store cannot be reached, <count> routers
    Given <count> routers, of which the one that reads the store cannot be reached by the others
    Then each of them knows that a zone is evacuated within <span> ms

    Examples:
      | count | span |
      | 2     | 1000 |
      | 4     | 1000 |
      | 12    | 1000 |

  # Guards against routers that send to a cold replica again within the second in which they had sent.
  Scenario Outline: Routers that start again soon keep the limit of a cold replica: <victims> of <count>, <span> ms
    Given <count> routers that get requests all the time, and a cold replica
    When <victims> of them are killed again and again, and start <span> ms later
    Then at most 3 requests reach the replica in any second, and at least <least> in all

    Examples:
      | count | victims | span | least |
      | 1     | all     | 50   | 8     |
      | 1     | all     | 200  | 8     |
      | 4     | all     | 50   | 8     |
      | 4     | all     | 200  | 8     |
      | 4     | n1      | 200  | 12    |
      | 4     | n2      | 200  | 12    |
      | 4     | n3      | 300  | 12    |
      | 4     | n3      | 500  | 12    |

  # Guards against requests that count from when their router chose the replica, though they arrive later.
  Scenario Outline: Requests whose connections are made late keep the limit of a cold replica: <count> routers
    Given <count> routers that get requests all the time, and a cold replica
    When the connections to the replica are made <span> ms late, once
    Then at most 3 requests reach the replica in any second, and at least 3 in all

    Examples:
      | count | span |
      | 1     | 250  |
      | 1     | 380  |
      | 3     | 380  |

  # Guards against a router that starts after a restore and takes replicas for warm by entries of the copy.
  Scenario Outline: Routers that start after a restore keep the limit of a cold replica: <count> routers, <span> ms
    Given <count> routers, and a replica that is cold though a copy of the store says that it is not
    When one of them starts <span> ms after the store was restored, and gets requests all the time
    Then at most 3 requests reach the replica in any second, and at least 1 in all

    Examples:
      | count | span |
      | 2     | 20   |
      | 4     | 20   |
      | 4     | 200  |
      | 4     | 500  |
      | 4     | 1000 |

  # Guards against a check that counts requests that were sent before the second, or misses one that was not.
  Scenario Outline: The limit of a cold replica counts requests that were sent and arrived within a second
    Given requests that were sent to a cold replica at "<sent>" ms and arrived at "<arrived>" ms
    Then the check of the random runs finds <count> violations of a limit of 3 a second

    Examples:
      | sent           | arrived         | count |
      | 0 300 600 900  | 1 301 601 901   | 1     |
      | 0 300 600 999  | 1 301 601 1000  | 0     |
      | 0 300 600 1100 | 1 301 601 1101  | 0     |
      | 0 500 800 1100 | 400 501 801 1101 | 0    |
      | 0 500 800 990  | 400 501 801 991 | 1     |
      | 900 0 300 600  | 901 950 960 970 | 1     |

  Scenario Outline: Random runs detect the mutation <mutation>
    When entry routers run for <span> s with the mutation "<mutation>" and only the faults "<faults>"
    Then a run violates an invariant with the text "<text>"

    Examples:
      | mutation               | span | faults | text                                      |
      | retry_everything       | 10   | corrupt_responses | ran 2 times                               |
      | report_not_run         | 10   | corrupt_responses | but ran                                   |
      | accept_any_response    | 10   | corrupt_responses | response incomplete or to another request |
      | skip_drain             | 10   | shut_down_router  | cut off by the router's shutdown          |
      | ignore_event_ids       | 10   | corrupt_responses | response incomplete or to another request |
      | use_draining_upstreams | 10   | drain_replica     | too late                                  |
      | use_evacuated_zones    | 16   | none   | too late                                  |
      | ignore_cold_limit      | 10   | none   | requests per second while cold            |
      | ignore_named_limit     | 20   | name_limit | for a limit of                        |
      | keep_limits_alone      | 20   | name_limit | for a limit of                        |
      | ignore_eras            | 25   | restore_store | newest configuration               |
      | retry_without_budget   | 10   | corrupt_responses | retries at                                |
      | omit_expected_replica  | 10   | none   | without x-expect-replica naming it        |
      | ignore_disconnects     | 10   | none   | callers that had disconnected             |
