Feature: Routers of an earlier release run beside new ones

  While machines are replaced one after the other, each router reads what those of the other release
  write.

  # Guards against a message that a router of another release drops or misreads as a whole (issue 49).
  Scenario Outline: A router of <release> and a new one exchange "<message>"
    Given the routers of the commit <release>
    When each of them and a new one writes "<message>"
    Then the old one reads all but "<fields>" of the new one
    And the new one reads all of the old one, and takes "<fields>" for not said

    Examples:
      | release | message          | fields                                              |
      | 9ef9c67 | gossip           | early_ends from_ms knows_nominal_starts knows_slow_replicas members processes rollouts route_waits settled_ms shorter_deadlines silences slow_replicas spans stored_ms written_in |
      | 9ef9c67 | loads            |                                                     |
      | 9ef9c67 | crashes          | started_ms                                          |
      | 9ef9c67 | origins          |                                                     |
      | 9ef9c67 | page             |                                                     |
      | 9ef9c67 | page with an era |                                                     |
      | 9ef9c67 | row              | from_ms members processes settled_ms shorter_deadlines silences spans stored_ms written_in |
      | 54041a1 | gossip           | backpressure cut_zones early_ends from_ms hold_offs knows_nominal_starts knows_slow_replicas members processes rollouts route_waits settled_ms shorter_deadlines silences slow_replicas spans stored_ms written_in zone |
      | 54041a1 | loads            |                                                     |
      | 54041a1 | crashes          | started_ms                                          |
      | 54041a1 | origins          | doubted_end                                         |
      | 54041a1 | page             |                                                     |
      | 54041a1 | page with an era |                                                     |
      | 54041a1 | row              | from_ms members processes settled_ms shorter_deadlines silences spans stored_ms written_in |
      | bec77ee | gossip           | backpressure cut_zones early_ends from_ms hold_offs knows_nominal_starts knows_slow_replicas members processes rollouts route_waits settled_ms shorter_deadlines silences slow_replicas spans store_restored stored_ms written_in zone |
      | bec77ee | loads            |                                                     |
      | bec77ee | crashes          | started_ms                                          |
      | bec77ee | origins          | doubted_end                                         |
      | bec77ee | page             |                                                     |
      | bec77ee | page with an era |                                                     |
      | bec77ee | row              | from_ms members processes settled_ms shorter_deadlines silences spans stored_ms written_in |

  # Guards against a router of an earlier release that does not learn at which version a stream may go
  # on, as it drops all of a message in which one stream was broken off with its end in doubt (issue 49).
  Scenario Outline: A router of <release> learns the origins of streams, one of them with a doubted end
    Given the routers of the commit <release>
    When each of them and a new one writes "a doubted end"
    Then the old one reads all but "<fields>" of the new one
    And the new one reads all of the old one, and takes "<fields>" for not said

    Examples:
      | release | fields      |
      | 9ef9c67 |             |
      | 54041a1 | doubted_end |
      | bec77ee | doubted_end |

  # Guards against streams joined as routers of an earlier release know no proportions that are not known,
  # and write or pass on a row as if it told all (issue 49).
  Scenario Outline: A row that lacks proportions is read by <reader>, after a router of <release> <change>
    Given the routers of the commit <release>
    And a row by a new router that does not know which proportions were in force 4 to 9 s ago
    When a router of the earlier release <change>
    Then <reader> takes up no stream of the last 8 s by proportions
    And <reader> takes up streams of the last 2 s by proportions at "v2"

    Examples:
      | release | change           | reader        |
      | 9ef9c67 | has read it      | an old router |
      | 9ef9c67 | has heard of it  | an old router |
      | 9ef9c67 | passes it on     | a new router  |
      | 9ef9c67 | writes it again  | a new router  |
      | 54041a1 | has read it      | an old router |
      | 54041a1 | has heard of it  | an old router |
      | 54041a1 | passes it on     | a new router  |
      | 54041a1 | writes it again  | a new router  |
      | bec77ee | has read it      | an old router |
      | bec77ee | has heard of it  | an old router |
      | bec77ee | passes it on     | a new router  |
      | bec77ee | writes it again  | a new router  |

  # Guards against streams joined by new routers where routers of an earlier release have written rows on
  # software versions, before new ones or after them (issue 49).
  Scenario Outline: Routers of <release> and new ones write the rows of a release of <replicas> replicas: <writers>
    Given the routers of the commit <release>
    When the rows of a release of <replicas> replicas, one each <gap> ms, are written by "<writers>"
    Then a new router that has just started takes up streams by proportions at no other version
    And it takes up <some> of them

    Examples:
      | release | replicas | gap | writers               | some |
      | 9ef9c67 | 8        | 400 | old, new              | some |
      | 9ef9c67 | 8        | 400 | new, old              | some |
      | 9ef9c67 | 30       | 300 | old, new              | some |
      | 9ef9c67 | 30       | 300 | new, old              | some |
      | 9ef9c67 | 78       | 150 | new, old, new, old    | some |
      | 9ef9c67 | 78       | 150 | old, new, old, new    | some |
      | 9ef9c67 | 9        | 500 | new, copy, old        | none |
      | 9ef9c67 | 9        | 500 | old, copy, new        | some |
      | 9ef9c67 | 9        | 500 | new, copy, new, old   | none |
      | 54041a1 | 30       | 300 | old, new              | some |
      | 54041a1 | 30       | 300 | new, old              | some |
      | 54041a1 | 9        | 500 | new, copy, new, old   | none |
      | bec77ee | 30       | 300 | new, old, new         | some |

  # Guards against a router that goes on with the first message about a stream, which lacks the end that
  # it would read, and against one that can read no message with an end.
  Scenario Outline: A router <release> asks about a stream whose end is in doubt
    Given a new router that knows a stream whose end is in doubt
    When a router <release> asks it about the stream
    Then the answers are "<answers>"

    Examples:
      | release                      | answers               |
      | that names its zone          | with the end          |
      | of a release without zones   | without it, with the end |
      | that was not heard           | without it, with the end |

  # Guards against a router that waits in vain for one that knows no relays.
  Scenario Outline: A router of <release> refuses what it does not know
    Given the routers of the commit <release>
    When a new router sends it <request>
    Then it answers "<answer>"

    Examples:
      | release | request                   | answer  |
      | 9ef9c67 | a request for rows        | rows    |
      | 9ef9c67 | a request to relay        | relay   |
      | 54041a1 | a request for rows        | rows    |
      | 54041a1 | a request to relay        | refused |
      | bec77ee | a request for rows        | rows    |
      | bec77ee | a request to relay        | refused |

  # Guards against tests that pass in a clone without history, as they play no earlier release.
  Scenario: The history of the repository is needed
    When the routers of the commit 0000000 are looked for
    Then the test fails, as "clone the repository with its whole history"
