Feature: The judge of answers that a router cut off though a replica worked on them (LOST)

  # Guards against a judge that passes an answer which its router cut off, or counts one that a
  # replica, its time or its caller ended.
  Scenario Outline: A try is <fate>: <case>
    Given a grace period of 3 s, and a SIGTERM of "n1" at 0 ms
    When a try sent to "n1" at <sent> ms ends "<end>" with status <status> at <at> ms, and its run "<run>" at <run_at> ms
    Then the fate of the try is "<fate>"

    Examples: answers that are not cut off
      | case                            | sent  | end                  | status | at   | run                  | run_at | fate |
      | a whole answer                  | -1000 | complete             | 200    | 1500 | whole                | 1400   | answered |
      | a refusal                       | -1000 | complete             | 503    | 1500 | none                 | 0      | not run  |
      | a failure after a run           | -1000 | complete             | 502    | 1500 | whole                | 1400   | answered with a failure after a run |
      | a close that crosses a request  | -1000 | ended before its end | 0      | 1500 | none                 | 0      | not run  |
      | a connection that was not made  | -1000 | not connected        | 0      | 1500 | none                 | 0      | not run  |
      | a caller that leaves            | -1000 | left by the caller   | 200    | 1500 | closed by the router | 1600   | left by the caller |

    Examples: answers that are cut off
      | case                            | sent  | end                  | status | at   | run                  | run_at | fate |
      | the end of a whole run          | -1000 | ended before its end | 200    | 1500 | whole                | 1400   | lost |
      | a whole run that is reset       | -1000 | reset                | 200    | 1500 | whole                | 1400   | lost |
      | a run that the router ends      | -1000 | ended before its end | 200    | 1500 | closed by the router | 1600   | lost |
      | a run whose answer never came   | -1000 | ended before its end | 0      | 1500 | whole                | 1400   | lost |
      | a run that goes on              | -1000 | reset                | 0      | 1500 | goes on              | 0      | lost |
      | a cut before any SIGTERM        | -1000 | reset                | 200    | -100 | whole                | -200   | lost |

    Examples: replicas that break off
      | case                            | sent  | end                  | status | at   | run                  | run_at | fate |
      | an end in order                 | -1000 | ended before its end | 200    | 1500 | fin                  | 1400   | broken off by its replica |
      | a reset                         | -1000 | ended before its end | 200    | 1500 | reset                | 1400   | broken off by its replica |

    Examples: the end of the grace period
      | case                            | sent  | end                  | status | at   | run                  | run_at | fate |
      | both at work in its last sixth  | -1000 | reset                | 200    | 2500 | closed by the router | 2500   | at work at the end of the grace period |
      | a run that goes on              | -1000 | reset                | 200    | 2900 | goes on              | 0      | at work at the end of the grace period |
      | a cut before its last sixth     | -1000 | reset                | 200    | 2499 | closed by the router | 2600   | lost |
      | a run that ended before it      | -1000 | reset                | 200    | 2900 | whole                | 2499   | lost |
      | the last request in time        | 3000  | reset                | 200    | 3200 | closed by the router | 3200   | at work at the end of the grace period |
      | a request that is too late      | 3001  | reset                | 200    | 3200 | closed by the router | 3200   | lost |

  # Guards against a judge that blames a router for what a slow caller had not read when the router's
  # grace period was over, and against one that excuses every answer of such a caller.
  Scenario Outline: A try of a slow caller is <fate>: <case>
    Given a grace period of 3 s, and a SIGTERM of "n1" at 0 ms
    And a caller that reads slowly
    When a try sent to "n1" at <sent> ms ends "<end>" with status <status> at <at> ms, and its run "<run>" at <run_at> ms
    Then the fate of the try is "<fate>"

    Examples:
      | case                                | sent  | end                  | status | at   | run   | run_at | fate |
      | cut as the grace period is over     | -1000 | reset                | 200    | 2500 | whole | 1400   | unread by a slow caller at the end of the grace period |
      | cut before that                     | -1000 | reset                | 200    | 2499 | whole | 1400   | lost |
      | cut at its end, before that         | -1000 | ended before its end | 200    | 1500 | whole | 1400   | lost |
      | nothing came                        | -1000 | reset                | 0      | 2600 | whole | 1400   | lost |
      | a request that is too late          | 3001  | reset                | 200    | 3200 | whole | 3100   | lost |
      | a run that goes on                  | -1000 | reset                | 200    | 2600 | goes on | 0    | at work at the end of the grace period |

  # Guards against a judge that takes an answer for lost whose time was used up, or the reverse.
  Scenario Outline: A try sent at -1000 ms with a deadline at <deadline> ms and a timeout of <timeout> ms, cut at <at> ms, is <fate>
    Given a grace period of 3 s, and a SIGTERM of "n1" at 0 ms
    And a deadline at <deadline> ms and a timeout of <timeout> ms
    When a try sent to "n1" at -1000 ms ends "reset" with status 200 at <at> ms, and its run "closed by the router" at <at> ms
    Then the fate of the try is "<fate>"

    Examples:
      | deadline | timeout | at   | fate        |
      | 2000     | 9000    | 2000 | out of time |
      | 2000     | 9000    | 1999 | lost        |
      | 9000     | 2000    | 1000 | out of time |
      | 9000     | 2000    | 999  | lost        |

  # Guards against a judge that blames routers for runs whose replicas were killed.
  Scenario: A run without an end was broken off where replicas are killed
    Given a grace period of 3 s, and a SIGTERM of "n1" at 0 ms
    And replicas that are killed at times
    When a try sent to "n1" at -1000 ms ends "reset" with status 200 at 1500 ms, and its run "goes on" at 0 ms
    Then the fate of the try is "broken off by its replica"

  # Guards against a grace period that counts from a further SIGTERM, or for another process.
  Scenario Outline: A try sent at <sent> ms and cut at <at> ms, beside "<log>", is <fate>
    Given a grace period of 3 s, and a log of a run with "<log>"
    When a try sent to "n1" at <sent> ms ends "reset" with status 200 at <at> ms, and its run "goes on" at 0 ms
    Then the fate of the try is "<fate>"

    Examples:
      | log                                                           | sent | at   | fate |
      | router_stop n1 0                                              | -500 | 2700 | at work at the end of the grace period |
      | router_stop n2 0                                              | -500 | 2700 | lost |
      | router_stop n1 0; router_stop n1 400                          | -500 | 2700 | at work at the end of the grace period |
      | router_stop n1 -9000; router_start n1 -5000                   | -500 | 2700 | lost |
      | router_stop n1 -9000; router_start n1 -5000; router_stop n1 0 | -500 | 2700 | at work at the end of the grace period |
      | router_stop n1 0; router_start n1 200                         | 300  | 2700 | lost |

  # Guards against a run that passes though whole answers were cut off, as in issue 62.
  Scenario: Tries that were cut off are counted, and those after a whole run apart
    Given a grace period of 3 s, and a SIGTERM of "n1" at 0 ms
    When a try sent to "n1" at -1000 ms ends "reset" with status 200 at 1500 ms, and its run "whole" at 1400 ms
    Then the judge counts 1 lost try and 1 whole run that was cut off

  # Guards against a violation that does not tell why the router cut the answer off.
  Scenario Outline: A lost try is reported with what its router logged: <shown>
    When a router has logged "<line>"
    Then the report of a lost try "t1" ends with "<shown>"

    Examples:
      | line                                                                  | shown                                          |
      | {"event": "request_failed", "id": "t1", "status": 0, "no_retry": "route"} | request_failed {"status": 0, "no_retry": "route"} |
      | {"event": "request", "id": "t1", "status": 200}                       | no failure                                     |
      | {"event": "request_failed", "id": "t1", "sta                          | no failure                                     |
