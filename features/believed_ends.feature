Feature: Early ends in order that a router cannot tell from those of whole streams

  # Guards against a soak that excuses a router which believed an end though it knew of an early end of
  # that software, or completed a stream by anything else.
  Scenario Outline: A stream that is complete after event 3 of 6 is <verdict>: <case>
    Given a run of "lm-1-own" "v1" that ended "<ended>" after event <last> with framing "<framing>"
    And a run of "lm-2-own" "v1", and one of "lm-3-own" "v2"
    When its router logs "<log>", and completes it at 9000 ms, 1000 ms after its begin, by "<proof>"
    Then the soak takes the stream for <verdict>

    Examples:
      | case                                  | ended | last | framing    | log                  | proof        | verdict  |
      | nothing speaks against its end        | fin   | 3    | connection |                      | no_early_end | excused  |
      | HTTP/1.0                              | fin   | 3    | http/1.0   |                      | no_early_end | excused  |
      | an early end of another version       | fin   | 3    | connection | lm-3-own 8500        | no_early_end | excused  |
      | an early end long before              | fin   | 3    | connection | lm-2-own 5499        | no_early_end | excused  |
      | an early end of another process       | fin   | 3    | connection | lm-2-own 8500, start | no_early_end | excused  |
      | an early end of a replica as another version | fin | 3 | connection | lm-2-own 8500 v2     | no_early_end | excused  |
      | an early end of a replica as its version     | fin | 3 | connection | lm-3-own 8500 v1     | no_early_end | broken   |
      | an early end of its software          | fin   | 3    | connection | lm-2-own 5500        | no_early_end | broken   |
      | an early end of it during the answer  | fin   | 3    | connection | lm-2-own 8900        | no_early_end | broken   |
      | an early end of its replica           | fin   | 3    | connection | lm-1-own 8500        | no_early_end | broken   |
      | a second run                          | fin   | 3    | connection |                      | second_run   | broken   |
      | a length or chunks                    | fin   | 3    | chunked    |                      | framing      | broken   |
      | chunks, by belief                     | fin   | 3    | chunked    |                      | no_early_end | broken   |
      | a reset                               | reset | 3    | connection |                      | no_early_end | broken   |
      | a run that sent more                  | fin   | 4    | connection |                      | no_early_end | broken   |
      | a run that was whole                  | whole | 3    | connection |                      | no_early_end | broken   |

  # Guards against a soak that excuses a router which believed the end of a run without any event.
  Scenario: A stream that is complete after event 3 of 6, by a run that was asked after it and sent none, is broken
    Given a run of "lm-1-own" "v1" that ended "fin" after event 3 with framing "connection"
    And the run was asked after event 3, and sent no event
    And a run of "lm-2-own" "v1", and one of "lm-3-own" "v2"
    When its router logs "", and completes it at 9000 ms, 1000 ms after its begin, by "no_early_end"
    Then the soak takes the stream for broken

  # Guards against a soak that excuses a router which believed an end although the run that was to confirm
  # it broke off, or ended before the event that it was asked for again.
  Scenario Outline: A stream that is complete after event 3 of 6 is <verdict>: another run of it <case>
    Given a run of "lm-1-own" "v1" that ended "fin" after event 3 with framing "connection"
    And another run of the stream, which ended "<ended>" after event <last> with framing "<framing>", <age> ms <when>
    And a run of "lm-2-own" "v1", and one of "lm-3-own" "v2"
    When its router logs "", and completes it at 9000 ms, 1000 ms after its begin, by "no_early_end"
    Then the soak takes the stream for <verdict>

    Examples:
      | case                                | ended  | last | framing    | age | when                    | verdict |
      | then brought nothing                | fin    | 2    | connection | 50  | after it                | broken  |
      | then was reset                      | reset  | 3    | connection | 50  | after it                | broken  |
      | then broke off in chunks            | fin    | 3    | chunked    | 50  | after it                | broken  |
      | then brought the event again        | fin    | 3    | connection | 50  | after it                | excused |
      | then was killed                     | killed | 2    | connection | 50  | after it                | excused |
      | broke off before                    | reset  | 1    | connection | 50  | before it               | excused |
      | broke off once the caller had it all | reset | 2    | connection | 50  | after the caller's end  | excused |

  # Guards against a soak that excuses more than two runs of one answer which both brought its last
  # event and ended early, in order and right behind it, at a router that knew of no early end.
  Scenario Outline: A stream that two runs complete after event 3 of 6 is <verdict>: <case>
    Given a run of "lm-1-own" "v1" that ended "fin" after event 3 with framing "connection"
    And a second run of "<try>" from event <first> that ended "<ended>" after event <last> with framing "<framing>"
    And a run of "lm-2-own" "v1", and one of "lm-3-own" "v2"
    When its router logs "<log>", and completes it at 9000 ms, 1000 ms after its begin, by "<proof>"
    Then the soak takes the stream for <verdict>

    Examples:
      | case                                   | try | first | ended | last | framing    | log           | proof      | verdict |
      | both end in order right behind it      | t1  | 3     | fin   | 3    | connection |               | second_run | excused |
      | the second one began again             | t1  | 1     | fin   | 3    | http/1.0   |               | second_run | excused |
      | an early end of another version        | t1  | 3     | fin   | 3    | connection | lm-3-own 8500 | second_run | excused |
      | an early end of their software         | t1  | 3     | fin   | 3    | connection | lm-2-own 5500 | second_run | broken  |
      | the second one brought no event        | t1  | 4     | fin   | 3    | connection |               | second_run | broken  |
      | the second one ended one event earlier | t1  | 1     | fin   | 2    | connection |               | second_run | broken  |
      | the second one went on                 | t1  | 3     | fin   | 4    | connection |               | second_run | broken  |
      | the second one was reset               | t1  | 3     | reset | 3    | connection |               | second_run | broken  |
      | the second one was whole               | t1  | 3     | whole | 3    | connection |               | second_run | broken  |
      | the second one had chunks              | t1  | 3     | fin   | 3    | chunked    |               | second_run | broken  |
      | the second one was of another try      | t2  | 3     | fin   | 3    | connection |               | second_run | broken  |
      | chunks                                 | t1  | 3     | fin   | 3    | connection |               | framing    | broken  |
