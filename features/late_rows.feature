Feature: Writes of the store that get no answer and are performed later

  # Guards against a stand-in that loses a write whose condition still holds, or performs one whose
  # condition does not, so that no soak plays it (issue 52).
  Scenario Outline: A write without an answer is performed later if its condition still holds, <change>
    Given a store that performs all writes 200 ms late, with a row at version 1
    When a router writes the row, expected at version 1, and <change> before it is performed
    Then the router has no answer, and the row is "<row>" 400 ms later without another call

    Examples:
      | change                                     | row   |
      | nothing else is written                    | v2    |
      | another row is written                     | v2    |
      | the row is written                         | other |
      | the store goes back to a copy with the row | v2    |
      | the store goes back to a copy without it   | none  |

  # Guards against streams joined from two software versions by a step that is dated by the call that
  # wrote it, and that the store performed seconds later, when all routers are lost (issue 52).
  Scenario Outline: A step is performed <late> ms late, and all routers are lost <lived> ms after its call, beside callers <callers>
    When the write of a release's step is performed <late> ms late, and all routers start anew <lived> ms after its call, beside callers <callers>
    Then no stream of these callers goes on at another version
    And at least half of those whose prompt no step moved go on

    Examples: before another router starts
      | late | lived | callers                      |
      | 3000 | 2900  | who name a deadline          |
      | 3000 | 2900  | who name none                |
      | 3000 | 2900  | of whom half name a deadline |
      | 600  | 500   | who name a deadline          |

    Examples: while all routers live
      | late | lived | callers                      |
      | 3000 | 4500  | who name a deadline          |
      | 3000 | 4500  | who name none                |

    Examples: after other routers have started
      | late | lived | callers                      |
      | 3000 | 1500  | who name a deadline          |
      | 3000 | 1500  | who name none                |

  # Guards against logs that do not tell a step that was performed long after its call from one that
  # was written twice (issue 52).
  Scenario: The log of a router tells the age of a step that was performed late
    When the write of a release's step is performed 3000 ms late, and all routers start anew 2900 ms after its call, beside callers who name none
    Then the router that started last logs how old the row's steps were, the newest about 3200 ms

  # Guards against streams that begin at any version at a router that knows the replicas, but has not
  # read the rows yet, and are taken up by the rows once all routers are lost (issue 52).
  Scenario Outline: A router that has just started takes <read> ms to read the rows, beside callers <callers>
    When streams begin at a router that has just started, and whose first read of the rows takes <read> ms, beside callers <callers>
    Then each begins at the version that the row gives its prompt

    Examples:
      | read | callers             |
      | 10   | who name a deadline |
      | 10   | who name none       |
      | 300  | who name a deadline |
