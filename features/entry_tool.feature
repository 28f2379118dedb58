Feature: Logs, settings and invalid input of the entry router

  Scenario: One request is explained from the logs of two routers
    Given logs of two routers with a request that failed at "r7"
    When the log tool runs "explain q1 LOG1 LOG2"
    Then its exit code is 0
    And it says "outcome_unknown"
    And it says "upstream_removed"

  Scenario Outline: The log commands show what the logs contain, or report what they lack
    Given logs of two routers with a request that failed at "r7"
    When the log tool runs "<arguments>"
    Then its exit code is <code>
    And it says "<text>"

    Examples:
      | arguments            | code | text                    |
      | explain q9 LOG1 LOG2 | 1    | no line about 'q9'      |
      | explain q1 NOWHERE   | 1    | No such file            |
      | summary README       | 1    | no log line of a router |
      | summary LOG1 LOG2    | 0    | status 502              |

  Scenario: A log that is not read delays no writer and counts the lines that it drops
    When 20000 lines are logged to a pipe that is not read
    Then it took less than 3 seconds and some lines were dropped

  Scenario: Frequent events do not displace other events from the log
    When 5000 lines of one event and one line of another are logged
    Then the log has both events and counts the dropped lines

  Scenario Outline: An invalid settings file is refused with the place of the error
    When the entry router's settings have <fault>
    Then the findings say "<text>"

    Examples:
      | fault                         | text                                   |
      | no store address              | platform.address: is missing           |
      | an invalid address            | listen.frontend: 'here' is not IP:PORT |
      | an invalid number             | bounds.grace_s: 'soon' is not a number |
      | a line without an equals sign | is not name=value                      |

  Scenario: Unknown settings are ignored
    When the entry router's settings have an unknown field
    Then there are no findings

  Scenario Outline: Decoding <what> from any bytes returns a value or a defined error
    When <what> is decoded from any bytes

    Examples:
      | what                |
      | an upstream row     |
      | a configuration row |
      | a gossip message    |
      | a page of rows      |
      | a settings file     |
      | a stream of events  |
      | a response head     |
