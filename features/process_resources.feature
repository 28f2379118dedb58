Feature: What a process needs from outside when it starts, reloads and serves

  # Guards against an entry router that ends because one of its ports is in use at its start.
  Scenario Outline: An entry router starts while its <kind> port is in use
    Given a router that ended, and another socket at its <kind> port
    When the router starts again, and the port is free 1000 ms after it logged that it is not
    Then the router is ready within 3000 ms
    And it answers callers
    And it logged "listen_failed" 1 times, and "listening" 1 times

    Examples:
      | kind      |
      | callers   |
      | readiness |
      | metrics   |
      | peers     |
      | gossip    |

  # Guards against a busy port of one purpose that matters to another one.
  Scenario Outline: An entry router serves callers while its <kind> port stays in use
    Given a router that ended, and another socket at its <kind> port
    When the router starts again
    Then it answers callers
    And it logged "listen_failed" 1 times, and "listening" 0 times
    And a SIGTERM ends it with exit code 0

    Examples:
      | kind      |
      | readiness |
      | metrics   |
      | peers     |
      | gossip    |

  # Guards against a router that is taken for ready before callers can connect.
  Scenario: An entry router that cannot listen for callers is not ready
    Given a router that ended, and another socket at its callers port
    When the router starts again
    Then its readiness address answers 503 for 1500 ms
    And a SIGTERM ends it with exit code 0

  # Guards against an unexpected error in one request that ends the router with exit code 3.
  Scenario: An unexpected error while a request is served ends only its connection
    Given a router that fails unexpectedly in requests to "/check/faulty"
    When 3 requests to "/check/faulty" fail without an answer
    Then it answers callers
    And it logged "unhandled_error" 3 times, and "start" 1 times
    And a SIGTERM ends it with exit code 0

  # Guards against a process that ends because its settings are being written at its start.
  Scenario Outline: <daemon> starts while its settings file is <state>
    Given <daemon> that has not started, with a settings file that is <state>
    When it starts, and after 2000 ms its settings file is whole
    Then it serves within 6000 ms
    And a SIGTERM ends the daemon with exit code 0

    Examples:
      | daemon             | state       |
      | an entry router    | missing     |
      | an entry router    | empty       |
      | an entry router    | cut off     |
      | an entry router    | not text    |
      | an entry router    | a directory |
      | a router daemon    | missing     |
      | a router daemon    | empty       |
      | a router daemon    | cut off     |
      | a router daemon    | not text    |
      | a router daemon    | a directory |

  # Guards against a mistake in the settings that is waited for without end, or not reported.
  Scenario Outline: <daemon> whose settings file stays <state> ends with exit code 2
    Given <daemon> that has not started, with a settings file that is <state>
    When it starts
    Then it ends with exit code 2 after 2500 to 15000 ms, and names its settings file
    And a check of its settings ends with exit code 2 at least 1500 ms sooner

    Examples:
      | daemon             | state    |
      | an entry router    | cut off  |
      | an entry router    | not text |
      | a router daemon    | cut off  |
      | a router daemon    | not text |

  # Guards against a part of the settings that was written first and is taken for the whole.
  Scenario Outline: An entry router keeps its settings while their file is <state> for a moment
    Given an entry router whose settings name a bound
    When its settings file is <state> for 60 ms, with a SIGHUP
    Then it logged no "settings_reloaded" within 2500 ms
    And it answers callers

    Examples:
      | state               |
      | empty               |
      | cut before a bound  |
      | cut within a bound  |

  # Guards against a change of the settings that is lost because the file was read too early.
  Scenario Outline: An entry router applies settings that are written <way>
    Given an entry router whose settings name a bound
    When its settings file gets another bound <way>
    Then it logged "settings_reloaded" once within <span> ms

    Examples:
      | way                            | span |
      | at once, with a SIGHUP         | 800  |
      | at once, without a signal      | 3500 |
      | in two parts, with a SIGHUP    | 3500 |

  # Guards against settings that end a running router because reading them fails unexpectedly.
  Scenario: An unexpected error while settings are reloaded does not end the router
    Given an entry router whose settings name a bound
    When its settings file gets a value at which reading fails unexpectedly, with a SIGHUP
    Then it logged "unhandled_error" within 1000 ms
    And it answers callers
    And a SIGTERM ends it with exit code 0

  # Guards against idle connections that use up all descriptors, so that nobody is answered.
  Scenario Outline: With 90 descriptors set <when> and 200 connections idle <kind>, callers are answered
    Given an entry router with a limit of 90 descriptors set <when>
    And 200 connections to it that are idle <kind>
    When 20 new callers send a request each at once
    Then all 20 are answered with 200
    And its readiness address answers 200 for 500 ms
    And its process has at most 90 descriptors open
    And no upstream was ejected
    And it logged at most 3 "accept_failed" and no traceback

    Examples:
      | when                | kind            |
      | before its start    | from the start  |
      | before its start    | after a request |
      | in its settings     | from the start  |
      | while it runs       | from the start  |
      | while it runs       | after a request |

  # Guards against idle connections that are closed although there is room for all.
  Scenario: Idle connections stay open while there are enough descriptors
    Given an entry router with a limit of 1000 descriptors set before its start
    And 200 connections to it that are idle after a request
    When 20 new callers send a request each at once
    Then all 20 are answered with 200
    And none of the idle connections was closed

  # Guards against callers that wait until their deadline for a connection that no one will give up.
  Scenario: A caller for whom no connection is left is refused at once with a Retry-After
    Given an entry router with a limit of 90 descriptors set before its start
    When 60 callers send requests that take 2000 ms each
    Then 20 to 40 of them are answered with 200, and all others with 503 within 1500 ms

  # Guards against a router that holds its own lack of descriptors against an upstream.
  Scenario Outline: A connection that fails with <error> here <blames> the upstream
    Given a connection to an upstream fails with <error>
    Then the attempt was not sent, and its upstream is ejected: <ejected>

    Examples:
      | error         | ejected | blames        |
      | EMFILE        | no      | does not blame |
      | ENFILE        | no      | does not blame |
      | ENOBUFS       | no      | does not blame |
      | EADDRNOTAVAIL | no      | does not blame |
      | ECONNREFUSED  | yes     | blames         |

  # Guards against closing a connection whose request is about to arrive, or one that is in use.
  Scenario Outline: Which connection closes first after <steps>
    Given connections that go through "<steps>"
    Then the connection that closes first is "<first>"

    Examples:
      | steps                                             | first |
      | 0:idle:a 10:idle:b 300:now                        | a     |
      | 0:idle:a 10:idle:b 20:busy:a 300:now              | b     |
      | 0:idle:a 10:idle:b 20:busy:a 30:idle:a 300:now    | b     |
      | 0:idle:a 10:idle:b 20:closed:a 300:now            | b     |
      | 0:idle:a 10:idle:b 20:input:a 300:now             | b     |
      | 0:idle:a 0:busy:a 300:now                         | none  |
      | 0:idle:a 99:now                                   | none  |
      | 0:idle:a 100:now                                  | a     |

  # Guards against callers that wait although there is room, or are refused although one will close.
  Scenario Outline: Whether another connection is accepted after <steps>
    Given connections that go through "<steps>"
    Then another connection is accepted with a limit of 2: <accepted>

    Examples:
      | steps                                        | accepted |
      | 0:idle:a                                     | yes      |
      | 0:idle:a 0:idle:b                            | no       |
      | 0:idle:a 0:busy:a 0:idle:b                   | no       |
      | 0:idle:a 0:busy:a 0:idle:b 0:busy:b          | yes      |
      | 0:idle:a 50:idle:b 100:now                   | yes      |

  Scenario Outline: With <limit> descriptors, <callers> connections are for callers and <others> for each service
    Given a process that may have <limit> descriptors open
    Then <callers> of them are for callers, as many for upstreams, and <others> for each service
    And all of them with those of the process are at most <limit>, unless it has less than 32

    Examples:
      | limit | callers | others |
      | 20    | 4       | 2      |
      | 64    | 17      | 5      |
      | 90    | 27      | 8      |
      | 256   | 89      | 29     |
      | 1024  | 470     | 32     |
      | 4100  | 2008    | 32     |

  # Guards against a router daemon that ends because the process before has not let go of its ports.
  Scenario Outline: A router daemon starts while its <kind> port is in use
    Given a router daemon whose <kind> port is in use
    When it starts, and the port is free 1000 ms after it logged that it is not
    Then it serves within 4000 ms
    And its log has "listen_failed" 1 times, and "listening" 1 times
    And a SIGTERM ends the daemon with exit code 0

    Examples:
      | kind      |
      | callers   |
      | operators |
      | peers     |

  # Guards against a wrong port in the settings that is waited for without end.
  Scenario Outline: A router daemon whose <kind> port stays in use ends with one line
    Given a router daemon whose <kind> port is in use
    When it starts
    Then it ends with exit code 3 after 5000 to 20000 ms, and names the cause last

    Examples:
      | kind      |
      | callers   |
      | operators |
      | peers     |

  # Guards against a router daemon that serves callers, and then ends for want of another port, and
  # against a stop signal that does not end its wait.
  Scenario Outline: A router daemon that waits for its <kind> port serves nobody, and can be stopped
    Given a router daemon whose <kind> port is in use
    When it starts, and has logged that the port is not free
    Then it does not serve within 1500 ms
    And a SIGTERM ends the daemon with exit code 0

    Examples:
      | kind      |
      | callers   |
      | operators |
      | peers     |

  # Guards against a router daemon that writes tracebacks while it has no descriptors left.
  Scenario: A router daemon without descriptors for new callers logs that once
    Given a router daemon with a limit of 90 descriptors
    And 200 connections to its callers address for 3000 ms
    Then it serves within 8000 ms
    And its log has "accept_failed" 1 times, and no traceback
    And a SIGTERM ends the daemon with exit code 0

  # A user time-out would also decide when keep-alive probes give up, whatever their count.
  Scenario: No TCP socket of an entry router has a user time-out or sends keep-alive probes
    Given a router before 3 replicas as processes, whose answers to "/chat/a" take 900 ms
    When the options of its TCP sockets are read while 6 requests to "/chat/a" run
    Then none of 12 or more connected ones has a user time-out or sends keep-alive probes

  Scenario: No TCP socket of a router of the own deployment has a user time-out or sends probes
    Given the small deployment
    When the options of the TCP sockets of "router-1" are read
    Then none of 2 or more connected ones has a user time-out or sends keep-alive probes
