Feature: A store that is restored from an older copy

  Versions of rows go back and are given out again, in a new era.  What the operator and the replicas
  had written is written again; until then a row of the copy must not undo what routers know.

  # Guards against rows of a restored store that are taken for old ones.
  Scenario Outline: What is known after a restore: <case>
    Given a router that knows era 1 at version 50: "<known>"
    When it reads "<history>"
    Then it knows "<result>"

    # A row is plan=NUMBER, plan=NUMBER/KEY with another key, out=ZONE, or NAME=STATE/BORN/SEQUENCE.
    # An item is MS:ERA:VERSION:ROW+ROW for a whole table, MS:ERA:VERSION~ROW for a change, where
    # -NAME or -out=ZONE is a removal, or MS:later.  All rows of a table have the version of its page.
    Examples: Configurations
      | case                                      | known   | history                                | result  |
      | a newer one in a lower version            | plan=13 | 0:2:20:plan=13 900:2:21~plan=16        | plan=16 |
      | the copy does not undo a newer one        | plan=13 | 0:2:20:plan=6 9000:later               | plan=13 |
      | it is written again                       | plan=13 | 0:2:20:plan=6 100:2:21~plan=13         | plan=13 |
      | it is written again, one after the other  | plan=13 | 0:2:20:plan=6 100:2:21~plan=10 200:2:22~plan=13 9000:later | plan=13 |
      | numbers are given out again               | plan=13 | 0:2:20:plan=6 100:2:21~plan=9 9000:later  | plan=9  |
      | a lower number, long after the restore    | plan=13 | 0:2:20:plan=6 9000:2:21~plan=9         | plan=9  |
      | the same number is given to another one   | plan=13 | 0:2:20:plan=6 100:2:21~plan=13/k2      | plan=13/k2 |
      | the version is passed before the read     | plan=13 | 0:2:70:plan=16                         | plan=16 |
      | two restores                              | plan=13 | 0:2:20:plan=6 100:3:10:plan=4 200:3:11~plan=14 | plan=14 |
      | a page of the old era is late             | plan=13 | 0:2:20:plan=13 10:2:21~plan=14 20:1:60:plan=15 | plan=14 |
      | a change of the old era is late           | plan=13 | 0:2:20:plan=13 10:2:21~plan=14 20:1:61~plan=15 | plan=14 |

    Examples: Zones
      | case                                      | known     | history                              | result    |
      | the copy does not have an evacuation      | plan=1+out=cape-b | 0:2:20:plan=1 100:2:21~out=cape-b 9000:later | plan=1+out=cape-b |
      | it is not written again                   | plan=1+out=cape-b | 0:2:20:plan=1 9000:later     | plan=1    |
      | the copy has an evacuation that has ended | plan=1    | 0:2:20:plan=1+out=cape-b 100:2:21~-out=cape-b 9000:later | plan=1 |
      | an evacuation ordered after the restore   | plan=1    | 0:2:20:plan=1 100:2:21~out=cape-b    | plan=1+out=cape-b |
      | an evacuation ordered before the read     | plan=1    | 0:2:20:plan=1+out=cape-b             | plan=1+out=cape-b |

    Examples: Upstreams
      | case                                      | known           | history                        | result          |
      | an entry that drains, in a lower version  | r1=ready/5/1    | 0:2:20:r1=ready/5/1 900:2:21~r1=draining/5/9 | r1=draining/5/9 |
      | the copy does not undo a drain            | r1=draining/5/9 | 0:2:20:r1=ready/5/1 100:2:21~r1=draining/5/10 9000:later | r1=draining/5/10 |
      | a removed one does not come back          | r1=ready/5/1+-r2=ready/5/7 | 0:2:20:r1=ready/5/1+r2=ready/5/2 3600:2:21~-r2 9000:later | r1=ready/5/1 |
      | a removed one that runs again             | r1=ready/5/1+-r2=ready/5/7 | 0:2:20:r1=ready/5/1 100:2:21~r2=ready/8/1 | r1=ready/5/1+r2=ready/8/1 |
      | one that the copy lacks                   | r1=ready/5/1+r2=ready/5/2 | 0:2:20:r1=ready/5/1 1900:2:21~r2=ready/5/4 9000:later | r1=ready/5/1+r2=ready/5/4 |
      | one that the copy lacks and that is gone  | r1=ready/5/1+r2=ready/5/2 | 0:2:20:r1=ready/5/1 2300:2:21~r1=ready/5/3 | r1=ready/5/3 |
      | a removal in the new era                  | r1=ready/5/1+r2=ready/5/2 | 0:2:20:r1=ready/5/1+r2=ready/5/2 7000:2:21~-r2 | r1=ready/5/1 |

  # Guards against replicas that are gone, or leave, and get requests since many others went, too.
  Scenario Outline: A copy of the store brings none of many replicas back: <case>
    Given a router that has read the entries of 651 replicas
    And <leaving> of them say that they leave, and 650 entries go <age> ms later
    When a copy of the store with all entries is read, and entries of <written> are written again
    Then the router sends to <count> of the replicas

    Examples:
      | case                                 | leaving | age    | written | count |
      | they are gone                        | 0       | 0      | none    | 1     |
      | they have left                       | 650     | 0      | none    | 1     |
      | they leave                           | 650     | 0      | all     | 1     |
      | they leave, and said so long ago     | 650     | 600000 | all     | 1     |
      | they were lost by the copy           | 0       | 0      | all     | 651   |

  # Guards against a replica that leaves and gets requests, as it said so while it was not listed.
  Scenario Outline: An entry that comes back is not of a replica that leaves: <case>
    Given a router that knows era 1 at version 50: "r1=ready/5/1+r2=ready/5/1"
    When it reads "0:1:51~-r1"
    And an answer of r1, which started at 5, says that it leaves
    And it reads "<entry>"
    Then the router sends to <count> of the replicas

    Examples:
      | case                        | entry               | count |
      | it comes back by the feed   | 0:1:52~r1=ready/5/2 | 1     |
      | it comes back in a new era  | 0:2:40:r1=ready/5/1+r2=ready/5/1 100:2:41~r1=ready/5/2 | 1 |
      | it has started again        | 0:1:52~r1=ready/7/1 | 2     |

  # Guards against replicas that stay at a router which missed many removals.
  Scenario: A router that missed the removal of many replicas hears of all of them
    Given a router that has read the entries of 651 replicas
    And another router that knows them, too
    And 0 of them say that they leave, and 650 entries go 0 ms later
    When each hears the other's summary and fetches what it lacks
    Then both routers send to 1 of the replicas

  Scenario: Replicas that have left are forgotten some time later
    Given a router that has read the entries of 651 replicas
    And 650 of them say that they leave, and 650 entries go 0 ms later
    When the last replica comes back under its name and leaves 600000 ms later
    Then the router remembers at most 1000 that have left

  # Guards against a router that was cut off and brings an old era back.
  Scenario Outline: Routers of different eras agree on the newer one: <case>
    Given a router that knows era 1 at version 50: "plan=13"
    And another router that knows era 2 at version <version>: "plan=14"
    When each hears the other's summary and fetches what it lacks
    Then both know "plan=14" in era 2
    And the router of era 1 does not read the store for that of era 2

    Examples:
      | case                       | version |
      | its version is smaller     | 20      |
      | its version is the same    | 50      |
      | its version is larger      | 90      |

  # Guards against changes that are asked for by a version that the store has given out again.
  Scenario: Changes are not read across a restore
    Given a store with 3 rows, and its client
    When the store is restored from a copy of 1 row, and 4 other rows are written
    Then changes after version 3 of era 1 are unavailable
    And the whole table is read as of era 2

  # Guards against rows beyond the first page of an answer that look as if they did not exist.
  Scenario Outline: A table of more rows than an answer holds is read whole: <table>
    Given a store with 1201 rows of the table of <table>, and its client
    Then its client reads 1201 rows of that table

    Examples:
      | table             |
      | upstreams         |
      | routers           |
      | software versions |

  # Guards against the row of another router that is taken for none, and written over.
  Scenario: A row on software versions that another router wrote first is found behind many others
    Given a store with 1201 rows of the table of software versions, and its client
    When its client writes the last of these rows as if there were none
    Then it is told the row that the store has

  # Guards against rows of two eras that are taken for one table.
  Scenario Outline: A table is not read across a restore: <table>
    Given a store with 1201 rows of the table of <table>, and its client
    And the store is restored from a copy after the first page
    Then its client cannot read that table

    Examples:
      | table             |
      | upstreams         |
      | routers           |
      | software versions |

  # Guards against a router that the others do not find since the store has lost its entry.
  Scenario: A router registers again after a restore
    Given a store, two replicas of each service, and a router
    And the store is restored from a copy without the router's entry
    Then within 4000 ms the store has the router's entry again
    And within 2000 ms a new configuration is in force

  Scenario Outline: Messages of earlier releases name no era, and are refused where an era is known
    When <message> without eras is decoded
    Then its era is 0

    Examples:
      | message          |
      | gossip           |
      | a page of rows   |
