Feature: Exit codes of routers, and what they log about their end

  # Guards against routers that end without a word on the reason, or with the code of another one.
  Scenario Outline: A router of the <daemon> with <case> and its log <log> ends with <code>
    When a router of the <daemon> runs with <case> and its log <log>
    Then its exit code is <code>, and if its log is kept it has one line on that with "<cause>"

    Examples:
      | daemon         | case           | log                 | code | cause                      |
      | platform       | a failing task | kept                | 4    | LookupError: no such thing |
      | own deployment | a failing task | kept                | 4    | LookupError: no such thing |
      | platform       | a failing task | without a reader    | 4    |                            |
      | own deployment | a failing task | without a reader    | 4    |                            |
      | platform       | bad settings   | kept                | 2    | settings                   |
      | own deployment | bad settings   | kept                | 2    | settings                   |
      | platform       | bad settings   | without a reader    | 2    |                            |
      | own deployment | bad settings   | without a reader    | 2    |                            |
      | own deployment | a taken port   | kept                | 3    | OSError                    |
      | platform       | SIGTERM        | closed at the start | 0    |                            |
      | own deployment | SIGTERM        | closed at the start | 0    |                            |
      | platform       | SIGTERM        | without a reader    | 0    |                            |
      | own deployment | SIGTERM        | without a reader    | 0    |                            |

  # Guards against a stop signal that turns the exit code of bad settings into the one of a stop.
  Scenario Outline: Routers of the <daemon> that end for bad settings keep their exit code under signals
    When <count> routers of the <daemon> with bad settings get SIGTERM over and over once they have logged their exit
    Then each exit code is 2

    Examples:
      | daemon         | count |
      | platform       | 12    |
      | own deployment | 6     |

  # Guards against lines of the log that go to a socket, which got the number of the closed stream.
  Scenario Outline: No socket of a router of the <daemon> gets the number of a closed stream
    Given a router of the <daemon> that was started with its standard streams closed
    When it serves
    Then its first three descriptors are the null device

    Examples:
      | daemon         |
      | platform       |
      | own deployment |
