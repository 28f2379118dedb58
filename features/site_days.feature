Feature: Days of a site file with real processes

  # Guards against streams out of order as a release goes on and all routers lose power, with the
  # deadlines, zones and classes of a site (issue 52).
  Scenario Outline: A short day of a small site with a release and a herd kill, seed <seed>
    When a day of "samples/site.toml" of 8 s is played with seed <seed> and only "release, herd_kill"
    Then the day breaks no rule
    And streams are whole, and both kinds of faults were played

    Examples:
      | seed |
      | 1    |

  # Guards against whole answers that are cut off around planned work alone (LOST, issue 62).
  Scenario Outline: A short day of a small site with planned work alone, seed <seed>
    When a day of "samples/site.toml" of 6 s is played with seed <seed> and only "roll_term, hup, config_change"
    Then the day breaks no rule
    And streams are whole, and no answer that ran was cut off

    Examples:
      | seed |
      | 1    |

  Scenario: The kinds of requests, the places and the faults of a site file are read
    When "samples/site.toml" is read
    Then its routers run in "quito-1, quito-1, quito-2", and a spare one in "quito-1"
    And its replicas run at "lm/quito-1, lm/quito-1, lm/quito-1, lm/quito-2, lm/quito-2, lm/quito-2, till/quito-1, till/quito-2"
    And its classes are these
      | name     | kind          | deadline_ms | timeout_ms | fewest | most |
      | chat     | STREAM        | 15000       | 15000      | 43     | 84   |
      | summary  | ONCE          | 12000       | 12000      | 25     | 64   |
      | label    | BRIEF         | 3000        | 3000       | 2      | 10   |
      | checkout | NON_IDEMPOTENT | 2500       | 1200       | 0      | 0    |
      | lookup   | IDEMPOTENT    | 2500        | 1200       | 0      | 0    |
    And of 10 things "release" meets 5, and "herd_kill" 10

  Scenario Outline: A site with <count> replicas in a zone is scaled down to <played>
    When "samples/site.toml" is read with <count> replicas of streams in each zone
    Then <played> replicas are played

    Examples:
      | count | played |
      | 3     | 8      |
      | 11    | 24     |
      | 100   | 24     |

  Scenario Outline: A site file with <fault> is refused
    When "samples/site.toml" is read with "<text>" in place of "<part>"
    Then the site is refused with "<error>"

    Examples:
      | fault                    | part                            | text                             | error                                                   |
      | bytes that are no TOML   | zones = [                       | zones = [[                       | Unclosed array                                          |
      | no zones                 | zones = [{ name                 | others = [{ name                 | site: zones is missing or is not a list                 |
      | a zone without a name    | { name = "quito-2" }]           | { name = 2 }]                    | zones: name is missing or is not a text                 |
      | no routers               | class = "front"                 | class = "side"                   | machines: there is none of class front                  |
      | an unknown zone          | { name = "quito-2" }]           | { name = "quito-3" }]            | zone 'quito-2' is not among the zones                   |
      | an unknown service       | name = "orders"                 | name = "others"                  | service 'orders' is not among the services              |
      | one service for both     | service = "orders", kind = "safe" | service = "assistant", kind = "safe" | service 'assistant' serves streams and single answers |
      | a kind that is not played | kind = "safe"                  | kind = "keyed"                   | class 'lookup': kind 'keyed' is not played              |
      | two classes of one kind  | kind = "safe"                   | kind = "unsafe"                  | class 'lookup': there are too many classes of its kind  |
      | no deadline              | deadline_ms = 12000, timeout_ms | timeout_ms                       | classes: deadline_ms is missing or is not a positive number |
      | a negative timeout       | timeout_ms = 12000              | timeout_ms = -1                  | summary: timeout_ms is missing or is not a positive number |
      | a stream without sizes   | pieces = { mean = 40,           | pieces = { meaning = 40,         | summary: mean is missing or is not a positive number    |
      | no drain time            | drain_ms = 1000                 | grace_ms = 1000                  | bounds: drain_ms is missing or is not a positive number |

  Scenario: A file that is not there is refused
    When "samples/absent.toml" is read as a site
    Then the site is refused with "No such file"

  Scenario Outline: What became of a stream with the tries "<tries>" is counted
    When a caller of "/chat/" with 6 events makes the tries "<tries>"
    Then its outcome is "<outcome>"

    Examples:
      | tries                                                 | outcome                                                  |
      | 0 1-6/v1/a.1.1 complete                               | streams 1, whole 1, resumed 0, joined 0, refused 0       |
      | 0 1-3/v1/a.1.1 reset; 3 4-6/v1/b.1.1 complete         | streams 1, whole 1, resumed 1, joined 0, refused 0       |
      | 0 1-3/v1/a.1.1 reset; 3 4-6/v2/b.1.1 complete         | streams 1, whole 1, resumed 1, joined 1, refused 0       |
      | 0 1-3/v1/a.1.1 reset; 3 none complete 503             | streams 1, whole 0, resumed 0, joined 0, refused 1       |
      | 0 1-3/v1/a.1.1 reset                                  | streams 1, whole 0, resumed 0, joined 0, refused 0       |

  # Guards against a feed that brings what is changed while it is to be silent.
  Scenario: Who waits for changes of the store learns of none while its feed is silent
    When a router waits for a change that is made while the feed is silent
    Then it learns nothing, and then that the history is gone

  # Guards against runs that judge LOST beside unplanned faults, or do not judge it without.
  Scenario Outline: A day of "<kinds>" has <conduct> replicas
    Then a day of the kinds "<kinds>" has "<conduct>" replicas

    Examples:
      | kinds                                   | conduct |
      | roll_term,hup,config_change,config_storm | sound  |
      | hup                                     | sound   |
      | hup,release                             | faulty  |
      |                                         | faulty  |
