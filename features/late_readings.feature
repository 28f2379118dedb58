Feature: Routers of the own deployment do not take when they noticed something for when it happened

  # Guards against evidence that is dated by when a slow answer was read, or by a write that says nothing of the other number.
  Scenario Outline: Evidence is not younger than the read that gave it when <step>
    Given a router whose store has a configuration and a view
    When <step>
    Then its evidence is at least 3000 ms old

    Examples:
      | step                                                      |
      | the answer that tells of a newer patch takes 3000 ms      |
      | a patch is accepted after voters agreed within 3000 ms    |
      | a view is written after voters agreed within 3000 ms      |

  # Guards against grants that a takeover leaves out, as their router left the view while this one stood still.
  Scenario: A router that left the view while this one stood still has departed recently
    Given a view of two routers that a router has noted
    When the router stands still for 10000 ms and reads that one of them left
    Then it counts that one as recently departed
    And no longer 5000 ms later

  # Guards against a grant that is used after its time, as the admitter stood still before it answered.
  Scenario: The time that an admitter stood still after its decision is no waiting time of the grant
    Given an admitter with a free replica
    When it stands still for 4000 ms between its decision and its answer
    Then the grant says that it waited for less than 1000 ms

  # Guards against suspicions, and removals, of a router for the time in which the one that probes it stood still.
  Scenario Outline: A router that does not answer for <silent> ms while its prober <prober> is <state>
    Given a view of two routers that a router has noted
    When the other router does not answer for <silent> ms while its prober <prober>
    Then the other router is <state>

    Examples:
      | silent | prober       | state                  |
      | 6000   | stands still | not suspected          |
      | 20000  | stands still | not suspected          |
      | 500    | runs         | not suspected          |
      | 2000   | runs         | suspected              |
      | 14000  | runs         | suspected              |
      | 17000  | runs         | suspected and removed  |

  # Guards against two admitters of a pool: a voter that stood still reads the end of an old vote after the new vote.
  Scenario: A voter that reads late that a hold of a lease ended keeps its vote for the next hold
    Given two routers in a view, of which one holds the lease of a pool
    When it hands the lease over, gets it again, and the voter then reads that the first hold ended
    Then the voter refuses its vote to a third router

  # Guards against a change that takes effect after the voters, who waited for it, vouch for the old numbers again.
  Scenario Outline: A router that stood still for <pause> ms while voters agreed to a <change> <does>
    Given a router whose store has a configuration and a view
    When it writes a <change> after voters agreed within <pause> ms
    Then the change of the <change> is <state>

    Examples:
      | change | pause | does              | state       |
      | patch  | 3000  | writes it         | written     |
      | patch  | 60000 | does not write it | not written |
      | view   | 3000  | writes it         | written     |
      | view   | 60000 | does not write it | not written |

  # Guards against an account that is gone on with, although another router may have admitted while the lease had ended.
  Scenario: An admitter that stood still until its lease had ended begins a new tenure when it has the lease again
    Given two routers in a view, of which one holds the lease of a pool
    When it stands still until the lease has ended, and gets it again before it looks
    Then its tenure is a new one
