Feature: Claims, retries, poison and events

  Scenario Outline: A claim whose write <result> is <state>
    When a claim is written and the write <result>
    Then the claim is "<state>"

    Examples:
      | result                        | state   |
      | is done                       | ours    |
      | meets another router's row    | taken   |
      | meets our own row             | ours    |
      | finds no row and did nothing  | not_had |
      | meets a row nobody can read   | taken   |

  Scenario: A claim is dispatched once
    When a claim that is ours is used twice
    Then the second use breaks the invariant "claimed_once"

  Scenario Outline: Claims of many callers while the store <fault>
    When 40 callers claim 20 keys twice while the store <fault>
    Then no key is had by two callers and what is not had was not written in the end

    Examples:
      | fault                 |
      | works                 |
      | loses half of its answers |
      | is away for 3 seconds |
      | is slow               |

  Scenario Outline: The retry budget after <requests> requests allows <allowed> of 40 retries
    When <requests> requests were noted after the reserve was spent
    Then <allowed> of 40 retries are allowed

    Examples:
      | requests | allowed |
      | 0        | 0       |
      | 50       | 5       |
      | 95       | 9       |
      | 1000     | 10      |

  Scenario Outline: A request with <crashes> crashes <ms> ms ago is <judged>
    When a request crashed <crashes> replicas <ms> ms ago
    Then sending it again is <judged>

    Examples:
      | crashes | ms     | judged       |
      | 1       | 0      | allowed      |
      | 2       | 0      | refused      |
      | 2       | 599000 | refused      |
      | 2       | 601000 | allowed      |

  Scenario Outline: Events that come as <shape> are passed on as <result>
    When events come as <shape>
    Then they are passed on as <result>

    Examples:
      | shape                    | result             |
      | one piece                | a whole answer     |
      | single bytes             | a whole answer     |
      | repeated after a resume  | a whole answer     |
      | a gap                    | a broken stream    |
      | another request's events | crossed answers    |
      | no end                   | an unfinished one  |

  Scenario Outline: Of <count> failures of a kind within a second <lines> are logged, each with its cause
    When <count> polls of the store fail within a second
    Then <lines> lines tell of them, the first with its cause

    Examples:
      | count | lines |
      | 1     | 1     |
      | 10    | 10    |
      | 50    | 10    |
