Feature: What a router concludes from a history of software versions that may not be whole

  # Guards against streams joined when more proportions were in force than a row keeps (issue 49).
  Scenario Outline: Streams that began in a release of <replicas> replicas, one each <gap> ms, and that no router remembers
    Given a release of <replicas> replicas, one each <gap> ms, in which streams begin
    When the streams of the last 15 s are resumed at a router that remembers none
    Then none goes on at another version
    And at least half of those that never moved go on
    And the row holds at most 24 proportions

    Examples:
      | replicas | gap |
      | 8        | 400 |
      | 15       | 400 |
      | 30       | 300 |
      | 78       | 150 |
      | 78       | 300 |
      | 650      | 50  |

  # Guards against streams joined at routers that have just started, as a copy of the store lacks the
  # last proportions (issue 49).
  Scenario Outline: The store comes back from a copy of <lost> ms, in a release of <replicas> replicas, and <known>
    Given a release of <replicas> replicas, one each <gap> ms, in which streams begin
    And the store comes back from a copy of <lost> ms while <known>
    When the streams of the last 15 s are resumed at a router that remembers none
    Then none goes on at another version
    And <result>

    Examples:
      | replicas | gap | lost | known                                 | result                                    |
      | 6        | 900 | 6000 | all routers start anew                | none goes on                              |
      | 9        | 900 | 6000 | all routers start anew                | none goes on                              |
      | 9        | 500 | 4000 | all routers start anew                | none goes on                              |
      | 9        | 500 | 4000 | the routers live on                   | at least half of those that never moved go on |
      | 9        | 500 | 4000 | the routers live on after a standstill | none goes on                             |
      | 9        | 500 | 4000 | a router that knew of it writes the row | at least half of those that never moved go on |

  # Guards against refusing streams that began after a store was restored, as its history is not whole.
  Scenario: Streams that begin after the store was restored are found again
    Given a release of 9 replicas, one each 500 ms, in which streams begin
    And the store comes back from a copy of 4000 ms while all routers start anew
    When streams begin for 15 s, and are resumed at a router that remembers none
    Then none goes on at another version
    And at least half of those that never moved go on
