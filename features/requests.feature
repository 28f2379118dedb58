Feature: Claims, the retry budget, poison requests, streamed events and failure logs

  Scenario Outline: A claim whose write <result> has the state "<state>"
    When a claim is written and the write <result>
    Then the state of the claim is "<state>"

    Examples:
      | result                              | state   |
      | is done                             | ours    |
      | conflicts with another router's row | taken   |
      | conflicts with its own row          | ours    |
      | fails and there is no row           | not_had |
      | conflicts with an invalid row       | taken   |

  Scenario: A claim cannot be dispatched twice
    When an obtained claim is marked as dispatched twice
    Then the second time violates the invariant "claimed_once"

  Scenario Outline: No key is claimed by two callers while the store <fault>
    When 40 callers claim 20 keys twice while the store <fault>
    Then no key is claimed by two callers and only claimed keys have a row in the end

    Examples:
      | fault                        |
      | works                        |
      | loses half of its answers    |
      | is unavailable for 3 seconds |
      | is slow                      |

  Scenario Outline: The retry budget after <requests> requests allows <allowed> of 40 retries
    When <requests> requests are recorded after the reserve was spent
    Then <allowed> of 40 retries are allowed

    Examples:
      | requests | allowed |
      | 0        | 0       |
      | 50       | 5       |
      | 95       | 9       |
      | 1000     | 10      |

  # Guards against a chat that is let through for ever, as the replica that it crashes starts again under
  # its id each time (issue 65).
  Scenario: A chat that crashes one replica at each start is refused
    When a request crashed the same replica 3 times, one each 4000 ms
    Then its retry is refused

  Scenario Outline: A retry of a request that crashed <crashes> replicas <ms> ms ago is <decision>
    When a request crashed <crashes> replicas <ms> ms ago
    Then its retry is <decision>

    Examples:
      | crashes | ms     | decision |
      | 1       | 0      | allowed  |
      | 2       | 0      | refused  |
      | 2       | 599000 | refused  |
      | 2       | 601000 | allowed  |

  # Guards against events that count as forwarded, but are lost with an invalid one that follows them.
  Scenario Outline: A stream with <shape> is read as <result>
    When a stream with <shape> is read
    Then the reader returns <result>

    Examples:
      | shape                          | result                            |
      | all events in one chunk        | a complete stream                 |
      | one byte in each chunk         | a complete stream                 |
      | events repeated after a resume | a complete stream                 |
      | events after its end           | a complete stream                 |
      | a run that goes on             | a complete stream                 |
      | only its end left              | a complete stream                 |
      | a run without ids after others | a broken stream                   |
      | a run that ends before others  | a broken stream                   |
      | a missing event                | a broken stream                   |
      | another request's events       | an error for another request's id |
      | no end                         | an unfinished stream              |

  Scenario Outline: Of <count> failures of one kind within a second <lines> are logged, each with its cause
    When <count> polls of the store fail within a second
    Then <lines> log lines report them, the first with its cause

    Examples:
      | count | lines |
      | 1     | 1     |
      | 10    | 10    |
      | 50    | 10    |
