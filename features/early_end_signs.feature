Feature: Signs of early ends that are none

  What a router takes for an early end makes it, and all other routers, cut off the ends of whole streams
  of that software.  So only a replica that ended an answer itself may count.

  # Guards against a comment, which keeps a connection open, that counts as an event behind the last one:
  # the run before it is reported as ended early, and its end is not believed any more.
  Scenario Outline: A comment of the run that is to confirm an end does not disprove it, where that run then <goes on>
    Given a router before replicas whose streams are whole, and whose resumed runs send a comment and then <goes on>
    When a stream of "/chat/a" is read
    Then the stream has 6 events and is complete
    And no early end is reported

    Examples:
      | goes on              |
      | bring the last event |
      | bring nothing        |

  # Guards against an end that counts as contradicted, as this router itself ended the run that was to
  # confirm it: the replica answers other requests first.
  Scenario: A run that waits, and that the router ends as later requests are answered, does not speak against an end
    Given a router before replicas whose streams are whole, and whose resumed runs wait
    When a stream of "/chat/a" is read beside framed ones that are answered at once
    Then the stream has 6 events and is complete

  # Guards against an end that counts as contradicted, as the run that was to confirm it brought the last
  # event again and ended in order, but nothing shows that its own process ended it (LOST).
  Scenario Outline: A run that brings the last event again, and whose end is in doubt as <then>, does not speak against an end
    Given a router before replicas whose streams are whole, and whose resumed runs bring the last event, after which <then>
    When a stream of "/chat/a" is read
    Then the stream has 6 events and is complete

    Examples:
      | then                      |
      | all their connections end |
      | another process answers   |

  # Guards against an upstream that stops at the deadline it was given, and so is taken for one that ends
  # answers early, while it only was to confirm an end (LOST).
  Scenario Outline: A run that brings no event, and that its replica ends <where> at the deadline, does not speak against an end
    Given a router before replicas whose streams are whole, and which end resumed ones <where> 1450 ms after their start
    When a stream of "/chat/a" with a deadline of 1500 ms is read
    Then the stream has 6 events and is complete
    And no early end is reported

    Examples:
      | where           |
      | before the head |
      | after the head  |

  # Guards against a link, or a silence, that counts as an early end of a replica.
  Scenario: A link that is closed with an answer is no early end of the replica
    Given a router before replicas whose streams are whole, after which all their connections end
    When a stream of "/once/a" is read
    Then no early end is reported

  Scenario: A replica that is silent for 1700 ms after a whole stream has not ended it early
    Given a router before replicas whose streams are whole, after which they are silent for 1700 ms
    When a stream of "/once/a" is read
    Then no early end is reported

  # Guards against a slow caller whose single answer its replica cuts off as it stays unread.
  Scenario Outline: A replica that cuts off <path> as its caller leaves it unread has not ended it early
    Given a router before a replica that sends 12 MB and resets what stays unread for 1500 ms
    When a caller of "<path>" reads nothing for 4000 ms after the first bytes
    Then no early end is reported

    Examples:
      | path     |
      | /check/a |
      | /once/a  |
