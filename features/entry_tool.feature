Feature: Logs, settings and hostile input of the entry router

  Scenario: One request is explained from the logs of two routers
    Given logs of two routers with a request that failed at "r7"
    When the log tool runs "explain q1 LOG1 LOG2"
    Then its exit code is 0
    And it says "outcome_unknown"
    And it says "upstream_removed"

  Scenario Outline: A log that tells nothing of it ends with a clear word
    Given logs of two routers with a request that failed at "r7"
    When the log tool runs "<arguments>"
    Then its exit code is <code>
    And it says "<text>"

    Examples:
      | arguments            | code | text                      |
      | explain q9 LOG1 LOG2 | 1    | no line about 'q9'        |
      | explain q1 NOWHERE   | 1    | No such file              |
      | summary README       | 1    | no log line of a router   |
      | summary LOG1 LOG2    | 0    | status 502                |

  Scenario: A log that nobody reads slows nothing and counts what it drops
    When 20000 lines are written to a pipe that nobody reads
    Then it took less than 3 seconds and some lines were left out

  Scenario: One kind of line never crowds out another
    When 5000 lines of one kind and one of another are written
    Then both kinds are there and the rest is counted

  Scenario Outline: A broken settings file is refused with its place
    When the entry router's settings have <fault>
    Then the findings say "<text>"

    Examples:
      | fault               | text                               |
      | no store            | platform.address: is missing       |
      | a bad address       | listen.frontend: 'here' is not IP:PORT |
      | a bad number        | bounds.grace_s: 'soon' is not a number |
      | a line without sign | is not name=value                  |

  Scenario: Unknown settings are ignored
    When the entry router's settings have an unknown field
    Then there are no findings

  Scenario Outline: <what> of any bytes is read or refused, and nothing else happens
    When <what> of any bytes is read

    Examples:
      | what                 |
      | a row of an upstream |
      | a row of a plan      |
      | a tell               |
      | a page of rows       |
      | a settings file      |
      | a stream of events   |
      | an answer's head     |
