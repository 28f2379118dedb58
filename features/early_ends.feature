Feature: Replicas that ended answers early
  What a router knows of them decides whether an end that nothing confirms is believed.

  # Guards against whole answers that are cut off for what replicas of another software did or for
  # what is long past, and against a software that ends answers early and is believed (issue 62).
  Scenario Outline: After early ends at "<seen>" an answer of <replica> to a request <span> ms later is <state>
    Given replicas a1, a2, a3 of software "v1", b1, b2 of "v2", c1 of another service with "v1", and n1, n2 of none
    When "<seen>" end answers early
    Then the end of an answer of <replica> to a request that comes <span> ms later is <state>

    Examples:
      | seen     | replica | span | state    |
      |          | a1      | 0    | believed |
      | a1       | a1      | 0    | doubted  |
      | a1       | a1      | 2500 | doubted  |
      | a1       | a1      | 2501 | believed |
      | a1       | a2      | 0    | doubted  |
      | a1       | a2      | 2500 | doubted  |
      | a1       | a2      | 2501 | believed |
      | a1 a2    | b1      | 0    | believed |
      | b1       | a3      | 0    | believed |
      | a1 b1    | b2      | 0    | doubted  |
      | a1 a2    | c1      | 0    | believed |
      | c1       | a2      | 0    | believed |
      | n1       | a1      | 0    | believed |
      | n1       | n2      | 0    | doubted  |
      | a1       | n1      | 0    | believed |

  # Guards against a sign that is lost, or counts against another software, as the replica that it is of
  # leaves, or starts again with other software, while others of its software serve on.
  Scenario Outline: After an early end at a1, which then <then>, an answer of <replica> is <state>
    Given replicas a1, a2, a3 of software "v1", b1, b2 of "v2", c1 of another service with "v1", and n1, n2 of none
    When "a1" end answers early
    And a1 then <then>
    Then the end of an answer of <replica> to a request that comes 100 ms later is <state>

    Examples:
      | then                  | replica | state    |
      | leaves the table      | a2      | doubted  |
      | starts again with v2  | a2      | doubted  |
      | starts again with v2  | b1      | believed |

  # Guards against an early end that comes after the request and is forgotten, and against one that is
  # kept for ever.
  Scenario Outline: An early end <before> ms before the end of an answer that lasted <lasted> ms makes it <state>
    Given replicas a1, a2, a3 of software "v1", b1, b2 of "v2", c1 of another service with "v1", and n1, n2 of none
    When "a1" end answers early
    Then <before> ms later the end of an answer of a1 that began <lasted> ms before is <state>

    Examples:
      | before | lasted | state    |
      | 0      | 10000  | doubted  |
      | 9000   | 10000  | doubted  |
      | 59000  | 60000  | doubted  |
      | 61000  | 61000  | believed |

  # Guards against resets of one router's links, for which all routers cut off the ends of whole answers.
  Scenario: A reset counts at the router that saw it alone, also right before and after an early end
    Given replicas a1, a2, a3 of software "v1", b1, b2 of "v2", c1 of another service with "v1", and n1, n2 of none
    When a1 resets an answer
    Then no early end is reported to other routers
    And an early end of "a1" that is no reset tells more
    When "a2" end answers early
    Then early ends at "lm:v1" are reported to other routers
    And the end of an answer of a1 to a request that comes 100 ms later is doubted

  # Guards against routers that tell each other of an early end for ever, each a little later.
  Scenario Outline: Two routers that report to each other, <way> ms on the way, forget an early end
    Given replicas a1, a2, a3 of software "v1", b1, b2 of "v2", c1 of another service with "v1", and n1, n2 of none
    When "a1" end answers early
    And two routers report early ends to each other every <gap> ms, <way> ms on the way
    Then the other one doubts a1 at 500 ms
    And none of them reports an early end from 2700 ms on

    Examples:
      | gap | way |
      | 100 | 15  |
      | 100 | 60  |
      | 125 | 120 |

  # Guards against a later early end that is taken for the report of an earlier one.
  Scenario: A reported early end counts when another one, 400 ms older, was reported before
    Given replicas a1, a2, a3 of software "v1", b1, b2 of "v2", c1 of another service with "v1", and n1, n2 of none
    When early ends of a1 are reported, 2000 and 1600 ms old
    Then the end of an answer of a1 to a request that comes 800 ms later is doubted

  Scenario Outline: A router reads the field "<field>" of early ends as "<known>"
    When gossip arrives whose field of early ends is "<field>"
    Then it reports early ends at "<known>"

    Examples:
      | field                                  | known       |
      | [["lm", "v1", 300]]                    | lm:v1       |
      | [["lm", "v1", 300], ["till", null, 0]] | lm:v1 till:None |
      | []                                     |             |
      | [["lm", "v1", -300]]                   | lm:v1       |
      | [["lm", "v1"]]                         | (invalid)   |
      | [[5, "v1", 300]]                       | (invalid)   |
      | [["lm", 5, 300]]                       | (invalid)   |
      | {}                                     | (invalid)   |
