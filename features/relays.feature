Feature: Decisions on relayed connections to upstreams

  # Guards against a router that takes the failure of its own link for that of the upstreams, and
  # against one that takes the failure of one upstream for that of its link.
  Scenario Outline: After <events>, the link to the zone is <state>
    Given the links of a router
    When <events> follow each other, 100 ms apart
    Then the link to the zone "za" is <state>, and that to "zb" is sound

    # An event is what was found of the upstream with this name: reached directly, or relayed only.
    Examples:
      | events                                          | state |
      | nothing                                         | sound |
      | relayed a                                       | sound |
      | relayed a, relayed a, relayed a                 | sound |
      | relayed a, relayed b                            | cut   |
      | relayed a, reached b, relayed c                 | sound |
      | relayed a, relayed b, reached c                 | cut   |
      | relayed a, pause, relayed b                     | sound |
      | relayed a, relayed b, probed, probed            | cut   |
      | relayed a, relayed b, probed, probed, probed, probed | sound |
      | relayed a, relayed b, probed, probed, failed, probed, probed | cut |

  # Guards against a return of all connections at once.
  Scenario Outline: After <probes> probes that reach an upstream, <share> of new connections are direct
    Given the links of a router
    When relayed a, relayed b follow each other, 100 ms apart
    And <probes> probes reach an upstream
    Then <share> of new connections to the zone are direct

    Examples:
      | probes | share |
      | 0      | 0.0   |
      | 1      | 0.125 |
      | 2      | 0.25  |
      | 3      | 0.5   |
      | 4      | 1.0   |

  # Guards against open connections that live on and are not used, and lost ones that are.
  Scenario Outline: Open connections <bytes> are <state> <after> ms after the cut
    Given the links of a router
    When relayed a, relayed b follow each other, 100 ms apart
    And open connections bring bytes <bytes>
    Then open connections are <state> <after> ms after the cut

    Examples:
      | bytes       | state | after |
      | never       | kept  | 100   |
      | never       | lost  | 200   |
      | until 100   | lost  | 300   |
      | until 300   | kept  | 400   |
      | until 300   | lost  | 1000  |

  # Guards against relays that are cut off themselves, end soon, or lie in another region.
  Scenario Outline: Of routers <routers>, "<order>" are asked to relay to an upstream in za
    Given a router in za, with other routers <routers>
    Then "<order>" are asked to relay, in this order

    # A router is NAME:ZONE, with its requests in flight or what it says of itself.
    Examples:
      | routers                             | order   |
      | a:za=1, b:za=9, c:zb=1              | a c b   |
      | a:za=cut, b:za=1, c:zb=1            | b c     |
      | a:za=leaving, b:zb=1                | b a     |
      | a:za=leaving, b:zb=1, c:zb=9        | b c a   |
      | a:far=1, b:zb=5                     | b       |
      | a:za=cut, b:za=cut, c:zb=cut        |         |
      | a:za=1, b:za=paused, c:zb=2         | a c     |
      | a:za=50, b:za=1, c:zb=1             | b c a   |
      | a:za=90, b:zb=1, c:zb=50            | a b c   |

  # Guards against a relay's own end that looks like that of the upstream.
  Scenario Outline: A relayed connection that brings <frames> in parts of <size> bytes is read as <read>
    Given a relayed connection that brings <frames> in parts of <size> bytes
    Then it is read as <read>

    Examples:
      | frames             | size | read         |
      | "abc" "de" end     | 1    | abcde, end   |
      | "abc" "de" end     | 64   | abcde, end   |
      | "abc" "de" close   | 1    | abcde, break |
      | "abc" "de" close   | 64   | abcde, break |
      | "abc" cut          | 2    | ab, break    |
      | end                | 3    | end          |
      | close              | 3    | break        |
      | huge               | 64   | break        |

  Scenario Outline: Bytes of another router that are no sound message to a relay: <bytes>
    Then decoding the relay <kind> "<bytes>" gives <result>

    Examples:
      | kind    | bytes              | result  |
      | request | sound              | as sent |
      | request | empty              | error   |
      | request | port 0             | error   |
      | request | port 70000         | error   |
      | request | endless time       | error   |
      | request | a number as name   | error   |
      | request | one item less      | error   |
      | reply   | sound              | as sent |
      | reply   | empty              | error   |
      | reply   | unknown word       | error   |
      | reply   | a list             | error   |

  # Guards against an upstream that asks the relay to wait, while the relay itself goes on sending.
  Scenario: What an upstream said to a relay holds for the relay, too
    Given a core that knows an upstream
    When another router says that the upstream wants nothing for 2000 ms from its relay
    Then nothing is sent to the upstream until 2000 ms have passed

  # Guards against connections that stay open, as their request is cancelled while they are made.
  Scenario Outline: Dials that are cancelled while <way> leave no connection open
    Given a dialer whose upstream <upstream>, and relays that answer after <delay> ms
    When 60 dials are cancelled, each a little later than the one before, over <span> ms
    Then no connection stays open

    Examples:
      | way                     | upstream              | delay | span |
      | a relay is asked        | refuses               | 10    | 30   |
      | several relays are asked | refuses              | 80    | 160  |
      | both ways are tried     | accepts no connection | 5     | 220  |

  Scenario: A router without a free descriptor for a relay tells that as any other failure
    Given a dialer whose upstream refuses, and no descriptor for its relays
    When a dial is made
    Then it fails as a connection that cannot be made
