Feature: Routers remember which version began a stream for as long as its caller may resume it

  # Guards against streams of over 30 s whose version is forgotten by all routers while they run, and
  # by a caller's return (issue 49).
  Scenario Outline: A stream of a caller that waits for <deadline> s has run for <runs> s, and is resumed <later> s later, <event>
    Given 6 routers, and a caller that waits for <deadline> s
    When the caller's stream of "v1" runs for <runs> s at one of them, and <event>
    Then <later> s later, "v1" is known at <where>

    Examples:
      | deadline | runs | later | event                              | where               |
      | 600      | 40   | 1     | nothing else happens               | the one that ran it |
      | 600      | 40   | 1     | that one is killed                 | a backup router     |
      | 600      | 40   | 300   | nothing else happens               | the one that ran it |
      | 600      | 40   | 300   | that one is killed                 | a backup router     |
      | 600      | 400  | 100   | that one is killed                 | a backup router     |
      | 60       | 40   | 15    | that one is killed                 | a backup router     |
      | 15       | 10   | 4     | that one is killed                 | a backup router     |
      | 0        | 40   | 300   | that one is killed                 | a backup router     |
      | 600      | 40   | 1     | the others start anew meanwhile    | a backup router     |
      | 600      | 40   | 1     | all of an earlier release are told | a backup router     |

  Scenario: Origins that no caller can ask for any more are dropped
    Given 2 routers, and a caller that waits for 15 s
    When 50 streams begin in each of 600 s
    Then at most 1800 origins are remembered at the end

  # Guards against a caller's earlier router that renews what it knows, and overwrites what a later
  # one has found out (issue 49).
  Scenario Outline: A router renews a stream of "v1" while a later one has told that its version is <version>
    Given 6 routers, and a caller that waits for 600 s
    When the caller's stream of "v1" runs on at one of them, and another one has told "<version>"
    Then the backup routers know "<version>" 40 s later

    Examples:
      | version |
      | none    |
      | v1      |

  # Guards against a router that has dropped origins and answers as if it had known all of them
  # (issue 49).
  Scenario Outline: A router drops origins as they are too many: <case>
    Given 2 routers, and a caller that waits for <deadline> s
    And the row of the service names <versions>
    And one stream of "<version>" began at the first router
    When <count> streams of "v1" begin there, and <later> s pass
    Then a resumption of the first stream at the second router is <result>

    Examples:
      | case                                      | deadline | versions  | version | count | later | result                    |
      | there is room                             | 600      | v1:1      | v1      | 49999 | 0     | known_to_another_router   |
      | one that its prompt tells                 | 600      | v1:1      | v1      | 50000 | 0     | assigned                  |
      | others than those that prompts tell       | 600      | v1:1      | none    | 60000 | 0     | replica_named_no_version  |
      | one that its prompt does not tell         | 600      | v1:1,v2:1 | v2      | 50000 | 0     | origins_dropped           |
      | one that no caller can ask for any more   | 600      | v1:1,v2:1 | v2      | 50000 | 601   | assigned                  |

  Scenario: Renewals of many streams are bounded
    Given 390 routers, and a caller that waits for 600 s
    When 2900 streams run at one of them for 60 s
    Then each is renewed at its backup routers at most 30 s apart
    And at most 330 messages a second are sent, of at most 64 origins
