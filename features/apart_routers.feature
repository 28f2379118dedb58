Feature: Routers that are cut off from the other routers alone
  The store, the callers and the replicas still reach them.

  # Guards against a stream that goes on at another software version at a router that is cut off from
  # the others, as the version joined after the cut (issue 62).
  Scenario Outline: A version joins as a router is cut off, and a stream of it is taken up there <when>
    Given two routers before replicas of "v1", and one of "v2" that joins later
    When messages between the routers are lost <direction>, and "v2" joins
    And a stream that began at "v2" is taken up at the router that is cut off <when>
    Then no event of it is of "v1"

    Examples:
      | direction        | when           |
      | both ways        | at once        |
      | from the others  | at once        |
      | both ways        | 1500 ms later  |
      | to the others    | at once        |

  Scenario: A router that is cut off from the others reads the store itself
    Given two routers before replicas of "v1", and one of "v2" that joins later
    When messages between the routers are lost both ways, and "v2" joins
    Then the router that is cut off begins streams at "v2" within 3 s

  # Guards against a stream that goes on at another software version at a router that is cut off from
  # the others, as the version that its nominal start names had left when it began (issue 62).
  Scenario: A version leaves as a router is cut off, and streams that begin after that are taken up there
    Given two routers before replicas of "v1", and one of "v2" that joins later
    When "v2" joins, messages between the routers are lost both ways, and "v2" drains
    And streams that nominally began 3000 ms before begin at "v1", and are taken up at the router that is cut off
    Then no event of them is of "v2"

  # Guards against a stream that goes on at another software version at a router that is cut off from
  # the others, as it began at a process that did not say whose it is (issue 62).
  Scenario Outline: Streams meet processes that do not say whose they are, and are taken up at a router that is cut off <direction>
    Given two routers before replicas of "v1", and one of "v2" that joins later
    When the processes of the replicas do not say whose they are for a while
    And messages between the routers are lost <direction>, and streams begin meanwhile
    And they are taken up at the router that is cut off once the processes say it again
    Then none that began at such a process goes on

    Examples:
      | direction       |
      | both ways       |
      | from the others |
      | to the others   |

  # Guards against streams that begin at replaced processes at a router that takes its own cut for an
  # outage of the store, and go on at another version at the others (issue 62).
  Scenario: Streams meet replaced processes at a router that is cut off from the store, too, and are taken up at the other one
    Given two routers before replicas of "v1", and one of "v2" that joins later
    When a router is cut off from the other one and from the store, and one of its replicas comes back with "v2", the others as before
    And streams begin there, and are taken up at the other router
    Then each goes on where it began, or nowhere
