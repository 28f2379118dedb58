Feature: What a router concludes from a history of software versions that may not be whole

  # Guards against streams joined when more proportions were in force than a row keeps (issue 49).
  Scenario Outline: Streams that began in a release of <replicas> replicas, one each <gap> ms, and that no router remembers
    Given a release of <replicas> replicas, one each <gap> ms, in which streams begin
    When the streams of the last 15 s are resumed at a router that remembers none
    Then none goes on at another version
    And at least half of those that never moved go on
    And the row in the store holds at most 24 proportions

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

  # Guards against refusing all streams after a store was restored beside no release, and against
  # taking its history for whole while a replica's other process may have served (issue 49).
  Scenario Outline: All routers start anew as the store comes back from a copy beside no release, and <entries>
    Given a service of one version for 20 s, in which streams begin
    And all routers start anew with a store of 4000 ms before, and <entries>
    When the streams of the last 15 s are resumed at a router that remembers none
    Then <early>, to come back when the entries are written again: <back>
    When the entries have settled, and the streams are resumed again
    Then none goes on at another version
    And <later>

    Examples:
      | entries                              | early        | back | later        |
      | it is the second time                | none goes on | yes  | all go on    |
      | the replicas are the same            | none goes on | yes  | all go on    |
      | a replica has started anew           | none goes on | no   | none goes on |
      | a replica starts anew a second later | none goes on | yes  | none goes on |
      | a replica is missing                 | none goes on | no   | none goes on |
      | the replicas name no starts          | none goes on | no   | none goes on |
      | another version has joined           | none goes on | no   | none goes on |

  # Guards against refusing the streams of a version that serves on, beside few replicas of another one,
  # and against going on with those of a version that may not have been used for a while (issue 49).
  Scenario Outline: Which streams go on as all routers start anew beside replicas of two versions, <replicas>
    Given a service of "<replicas>" for 20 s, in which streams begin
    And all routers start anew with a store of 4000 ms before, and the replicas are the same
    When the entries have settled, and the streams are resumed again
    Then none goes on at another version
    And those of "<certain>" go on, and no others

    Examples:
      | replicas  | certain |
      | v1:3      | v1      |
      | v1:1,v2:2 | v2      |
      | v1:2,v2:1 | v1      |
      | v1:2,v2:2 | none    |

  # Guards against other proportions for new streams at routers that have read a long row of a copy (issue 49).
  Scenario Outline: The proportions in force stay as they are in a history that is bounded, <last>
    Given a release of 30 replicas, one each 300 ms, in which streams begin
    When <last>
    Then new streams begin by the proportions that were written last

    Examples:
      | last                          |
      | the row is read               |
      | the row is read as one of a copy |

  # Guards against a router that ends with an error as it joins a row with all of whose steps it agrees (issue 49).
  Scenario: A history of one step is joined with a row that has the same step behind a gap
    Given the history "5=v1:3" that a router has followed for 1000 ms
    When it joins the row "9= 5=v1:3"
    Then the joined history is "5=v1:3"

  # Guards against a row that gets longer each time one of two routers reads what the other has written of
  # one history, as they know its ages a little differently (issue 52).
  Scenario Outline: Two routers that know the ages of a history <differ> ms differently read each other's rows
    Given a restored store, whose row two routers know, the second one <differ> ms later
    When each of them writes the row 10 times in turns
    Then the row holds as many proportions as before

    Examples:
      | differ |
      | 0      |
      | 5      |
      | 120    |

  # Guards against streams joined that a router that has just started began by the proportions of a copy, while others know later ones (issue 49).
  Scenario Outline: A router that starts anew begins streams by the row of a copy, and <writer> writes the row
    Given a release of 9 replicas, one each 500 ms, in which streams begin
    And the store comes back from a copy of 4000 ms, by which a router that starts begins streams
    And <writer> writes the row 600 ms later
    When the streams of the last 15 s are resumed 2000 ms later at a router that lived on
    Then none goes on at another version
    And at least half of those that never moved go on

    Examples:
      | writer                     |
      | the router that lived on   |
      | the router that starts anew |

  # Guards against streams joined that a replica began which joined after the copy was made and is gone, so that no entry shows it (issue 49).
  Scenario: A replica of another version joined after the copy was made, and is gone as all routers start anew
    Given a service of one version for 20 s, in which streams begin
    And a replica of another version that serves for 2000 ms
    And all routers start anew with a store of 4000 ms before, and the replicas are the same
    When the entries have settled, and the streams are resumed again
    Then none goes on at another version

  # Guards against a bounded history under which a prompt is certain of a version that it did not get (issue 49).
  Scenario: Random histories of up to four versions are bounded as their steps are added
    When 20 random histories of 30 to 90 steps are bounded
    Then each holds at most 24 proportions, ends with those in force, and admits all versions that the whole one does
