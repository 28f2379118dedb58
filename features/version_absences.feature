Feature: Versions without replicas while the store takes no writes

  The row on software versions cannot say so then, and begun streams may outlive all routers.

  # Guards against a router that forgets proportions as they are right again before it could write them (issue 62).
  Scenario Outline: A version leaves and comes back while its row cannot be written, and <back>
    Given a router that follows 1 replica of "v1" and 3 of "v2"
    When the store takes no writes, and "v1" is gone for 2500 ms, and <back>
    And a stream of each version's prompts is resumed that began meanwhile, at <router>
    Then that of "v1" is refused, and that of "v2" goes on

    Examples:
      | back                               | router                                        |
      | another process of it is back      | this router, which does not remember them     |
      | the same process of it is back     | this router, which does not remember them     |
      | another process of it is back      | a new router, after the store takes writes    |
      | the same process of it is back     | a new router, after the store takes writes    |

  # Guards against a row that grows, or is written again and again, for what could not be written (issue 62).
  Scenario: A version comes and goes 20 times while its row cannot be written
    Given a router that follows 1 replica of "v1" and 3 of "v2"
    When the store takes no writes, and "v1" is gone and back 20 times in 20 s
    And the store takes writes for 10 s
    Then the row is written at most 2 times, with at most 24 steps
    And a stream of a prompt of "v1" that began meanwhile is refused by a new router

  # Guards against a router that starts anew and takes the newest row for right, though a version may have
  # been gone while nobody could write that (issue 62).
  Scenario Outline: All routers start anew <when>, and <case>
    Given a router that follows 1 replica of "v1" and 3 of "v2"
    When it is killed, and another one starts <when>, and <case>
    Then the new one takes up streams of before at "<before>", and later ones at "<since>"

    Examples:
      | when                             | case                                | before | since |
      | while the store takes no writes  | another process of v1 serves        | v2     | v1 v2 |
      | then and again as it takes them  | another process of v1 serves        | v2     | v1 v2 |
      | while the store takes no writes  | the same process of v1 serves       | v2     | v1 v2 |
      | while the store takes no writes  | other processes of both serve       | none   | v1 v2 |
      | while the store takes no writes  | one process of v2 is another        | v2     | v1 v2 |
      | while the store takes no writes  | a second process of v1 has joined   | v2     | v1 v2 |
      | while the store takes no writes  | its row is of an earlier release    | v1 v2  | v1 v2 |
      | while the store takes writes     | another process of v1 serves        | v1 v2  | v1 v2 |

  # Guards against streams that are refused at a service of one version, at which all have begun (issue 62).
  Scenario: All routers start anew while the store takes no writes, before one version of one replica
    Given a router that follows 1 replica of "v1"
    When it is killed, and another one starts while the store takes no writes, and another process of v1 serves
    Then the new one takes up streams of before at "v1", and later ones at "v1"

  # Guards against a time of doubt that is cut short as it is merged with an absence that ended before it did.
  Scenario: A version that was doubted until 3000 ms after it was gone is doubted as long, once 9 absences are merged into 8
    Given "v1" was gone for 100 ms, and is doubted from 20000 ms before until 3000 ms after that
    When "v1" is gone and back 7 times more
    Then 8 absences are kept, and the earliest one lasts as long as the doubt
