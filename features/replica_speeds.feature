Feature: Replicas whose work takes longer than usual

  Answers of some services tell how long work takes at the moment.  Routers keep a moving average for
  each replica, tell each other of slow ones, and count requests at these for more.

  # Guards against a replica that is avoided long after it has recovered, one that is preferred for being
  # fast, and one that a single odd figure hides entirely.
  Scenario Outline: The slowdown after "<figures>" is <slowdown>
    When the figures "<figures>" of a replica arrive, in percent at milliseconds
    Then its slowdown at <moment> ms is <slowdown>

    Examples:
      | figures                     | moment | slowdown |
      |                             | 0      | 1        |
      | 0:100                       | 0      | 1        |
      | 0:40                        | 0      | 1        |
      | 0:250                       | 0      | 1.9      |
      | 0:250                       | 500    | 1.45     |
      | 0:250                       | 999    | 1.001    |
      | 0:250                       | 1000   | 1        |
      | 0:250                       | 9000   | 1        |
      | 0:250 0:250                 | 0      | 2.26     |
      | 0:250 0:250 0:250 0:250     | 0      | 2.462    |
      | 0:250 100:100               | 100    | 1.324    |
      | 0:250 100:100 200:100       | 200    | 1.117    |
      | 0:250 100:10 200:10 300:10  | 300    | 1.042    |
      | 0:1000000000                | 0      | 2.8      |

  # Guards against reports that outlive the slow period, overwrite newer knowledge, or are false.
  Scenario Outline: A report of <percent> percent, <age> ms old, after "<figures>"
    When the figures "<figures>" of a replica arrive, in percent at milliseconds
    And another router reports <percent> percent at the replica, <age> ms ago
    Then its slowdown at <moment> ms is <slowdown>

    Examples:
      | figures | percent    | age   | moment | slowdown |
      |         | 250        | 0     | 0      | 2.47     |
      |         | 250        | 480   | 0      | 1.75     |
      |         | 250        | 0     | 980    | 1        |
      |         | 250        | 999   | 0      | 1        |
      |         | 250        | 1000  | 0      | 1        |
      |         | 250        | 90000 | 0      | 1        |
      |         | 250        | -5000 | 0      | 2.47     |
      |         | 0          | 0     | 0      | 1        |
      |         | 50         | 0     | 0      | 1        |
      |         | 1000000000 | 0     | 0      | 3.94     |
      |         | 1000000000 | 0     | 980    | 1        |
      | 0:250   | 100        | 0     | 0      | 1.9      |
      | 0:250   | 100        | 500   | 0      | 1.9      |

  # Guards against messages that grow with the number of slow replicas, and against unbounded state.
  Scenario: Many slow replicas
    When a figure of 150 to 349 percent arrives from each of 3000 replicas
    Then it reports 12 replicas, the slowest first
    And it keeps 2000 replicas

  # Guards against two routers that keep a slowdown alive by telling each other of it.
  Scenario: Two routers tell each other of a replica for 3 s after its last answer
    Given a replica whose last answer to one of two routers named 250 percent
    When they exchange reports each 50 ms for 3000 ms
    Then none of them had a slowdown above 1 from 1000 ms on

  # Guards against placement that changes for services whose replicas name no percentage.
  Scenario Outline: Requests at a replica that names <percent> percent, with <load> requests
    Given 3 replicas of which the one that a chat prefers has <load> requests, the others 4 each
    When its answers name "<percent>" percent
    Then the chat goes <where>

    Examples:
      | load | percent | where     |
      | 4    |         | there     |
      | 4    | 100     | there     |
      | 4    | 40      | there     |
      | 4    | 130     | there     |
      | 4    | 250     | elsewhere |
      | 0    | 250     | there     |
      | 16   |         | elsewhere |
      | 16   | 40      | elsewhere |

  # Guards against slow replicas whose requests push the others over the bound on load.
  Scenario: All replicas are busy, one for being slow only
    Given 3 replicas of which the one that a chat prefers has 4 requests, the others 4 each
    And the others have answered that they hold 9 requests
    When its answers name "400" percent
    Then the chat goes there

  # Guards against a message about loads that a router of an earlier release refuses as a whole.
  Scenario Outline: A router <release> is sent what it reads
    Given a router that knows of a busy replica and a slow one
    When it sends a message about loads to a router <release>
    Then the message has <items> items, and names the busy replica

    Examples:
      | release                      | items |
      | that reads slow replicas     | 3     |
      | of the release before        | 2     |
      | that was not heard           | 2     |

  # Guards against a message refused, or a field misread, for what another release sends in it.
  Scenario Outline: A router reads gossip with slow replicas "<field>"
    When gossip arrives whose field of slow replicas is "<field>"
    Then it knows of the slow replicas "<known>"

    Examples:
      | field               | known      |
      | absent              |            |
      | empty               |            |
      | r0:250:10           | r0:250:10  |
      | r0:250:10 r1:130:0  | r0:250:10 r1:130:0 |
      | r0:250:-10          | r0:250:0   |
      | r0:x:10             | refused    |
      | r0:-5:10            | refused    |
      | r0:250              | refused    |

  # Guards against slow replicas that operators cannot see.
  Scenario: The metrics page names slow replicas
    Given a router that knows of a busy replica and a slow one
    Then its metrics name the slowdown of the slow replica only
