Feature: Ends of streams that nothing confirms

  A replica that lives on may end an answer without a length or chunks in order between two events.
  Only another run behind the last event shows whether that was the end of the stream.

  # Guards against a stream that looks complete before its last event, as the run that was to
  # confirm its end was denied, cut off, or is not allowed on its route (issue 46).  The replicas have
  # ended other answers early: the same bytes of replicas that have not are a whole stream (below).
  Scenario Outline: The end of a <path> stream after event <sent> does not look complete to an HTTP/<http> caller when <case>, at replicas that have ended others early
    Given a router whose replicas end a stream in order after event <sent> of 6, where <case>
    And the replicas have ended streams within an event before
    When an HTTP/<http> caller reads a stream of "<path>" to its end
    Then the caller got <sent> events, and no sign that the stream is complete

    Examples:
      | path    | http | sent | case                                |
      | /once/a | 1.1  | 2    | all else is as usual                |
      | /once/a | 1.0  | 2    | all else is as usual                |
      | /chat/a | 1.1  | 2    | the retry budget is used up         |
      | /chat/a | 1.0  | 2    | the retry budget is used up         |
      | /chat/a | 1.1  | 2    | a resumed run brings nothing        |
      | /chat/a | 1.1  | 2    | a resumed run is refused            |
      | /chat/a | 1.1  | 2    | the route allows one run            |
      | /chat/a | 1.1  | 2    | events have no ids                  |

  # Guards against the same at replicas of which nothing is known: no event has come, or the run that
  # was to confirm the end broke off.
  Scenario Outline: The end of a <path> stream after event <sent> does not look complete to an HTTP/<http> caller when <case>
    Given a router whose replicas end a stream in order after event <sent> of 6, where <case>
    When an HTTP/<http> caller reads a stream of "<path>" to its end
    Then the caller got <sent> events, and no sign that the stream is complete

    Examples:
      | path    | http | sent | case                                |
      | /once/a | 1.1  | 0    | all else is as usual                |
      | /chat/a | 1.1  | 0    | the retry budget is used up         |
      | /chat/a | 1.1  | 2    | a resumed run is reset              |

  # Guards against a stream that looks complete, as the run that was to confirm its end was broken off
  # in order, too, before its first event (a short soak of herd kills and releases, seed 1).
  Scenario Outline: Runs that all end in order before their first event do not confirm an end after event <sent> to an HTTP/<http> caller
    Given a router whose replicas end a stream in order after event <sent> of 6, where each resumed run is cut
    When an HTTP/<http> caller reads a stream of "/chat/a" to its end
    Then the caller got <sent> events, and no sign that the stream is complete

    Examples:
      | http | sent |
      | 1.1  | 2    |
      | 1.0  | 2    |
      | 1.1  | 1    |
      | 1.1  | 5    |

  # Guards against whole streams that their callers never get complete: the tries of a caller that takes
  # a stream up at a doubted end count as runs there.
  Scenario Outline: A caller has a whole <path> stream complete after <tries> tries when <case>
    Given a router whose replicas end a stream in order after event 6 of 6, where <case>
    When a caller reads a stream of "<path>", and takes it up behind its last event until it is complete
    Then it has 6 events after <tries> tries

    Examples:
      | path    | tries | case                        |
      | /chat/a | 1     | all else is as usual        |
      | /chat/a | 1     | a resumed run is unframed   |
      | /chat/a | 2     | a resumed run is reset once |
      | /chat/a | 1     | the retry budget is used up |
      | /chat/a | 1     | the route allows one run    |
      | /chat/a | 1     | a resumed run is unframed, and the retry budget is used up |

  # Guards against streams that such a caller never gets complete where replicas are in doubt.
  Scenario Outline: A caller has a whole <path> stream complete after <tries> tries when <case>, at replicas that have ended others early
    Given a router whose replicas end a stream in order after event 6 of 6, where <case>
    And the replicas have ended streams within an event before
    When a caller reads a stream of "<path>", and takes it up behind its last event until it is complete
    Then it has 6 events after <tries> tries

    Examples:
      | path    | tries | case                        |
      | /chat/a | 2     | the retry budget is used up |
      | /chat/a | 2     | the route allows one run    |
      | /chat/a | 3     | a resumed run is unframed, and the retry budget is used up |

  # Guards against a stream that looks complete before its last event in the same way, and against one
  # that a caller cannot get whole after that.
  Scenario Outline: A stream of 6 events whose first run ends in order after event <sent> is whole after <tries> tries when <case>
    Given a router whose replicas end a stream in order after event <sent> of 6, where <case>
    When a caller reads a stream of "/chat/a", and takes it up behind its last event until it is complete
    Then it has 6 events after <tries> tries

    Examples:
      | sent | tries | case                      |
      | 1    | 1     | all else is as usual      |
      | 2    | 1     | all else is as usual      |
      | 1    | 2     | a resumed run is cut once |
      | 2    | 2     | a resumed run is cut once |
      | 5    | 2     | a resumed run is cut once |

  # Guards against a stream that looks complete, as the caller's next try was cut before its first event
  # (a short soak, seed 2).
  Scenario: A caller's second try that is cut in order at once does not complete the stream
    Given a router whose replicas end a stream in order after event 2 of 6, where a resumed run is cut once, and the retry budget is used up
    And the replicas have ended streams within an event before
    When a caller reads a stream of "/chat/a", and takes it up behind its last event until it is complete
    Then it has 6 events after 3 tries

  Scenario: An end of a healthy replica that nothing confirms does not count against it
    Given a router whose replicas end a stream in order after event 6 of 6, where all else is as usual
    When 12 callers read streams of "/once/a" one after the other
    Then no replica was ejected, and no crash was suspected

  # Guards against whole streams that are cut off for their callers, as nothing but another run, which
  # may not be made or brings nothing in time, would confirm their ends (issue 62, LOST).
  Scenario Outline: A whole <path> stream is complete for an HTTP/<http> caller when <case>
    Given a router whose replicas end a stream in order after event 6 of 6, where <case>
    When an HTTP/<http> caller reads a stream of "<path>" to its end
    Then the caller got 6 events, and the stream is complete

    Examples:
      | path    | http | case                         |
      | /once/a | 1.1  | all else is as usual         |
      | /once/a | 1.0  | all else is as usual         |
      | /chat/a | 1.1  | the retry budget is used up  |
      | /chat/a | 1.1  | a resumed run brings nothing |
      | /chat/a | 1.1  | a resumed run is refused     |
      | /chat/a | 1.1  | the route allows one run     |
      | /chat/a | 1.1  | events have no ids           |

  # Guards against a whole stream that is cut off, as its first run is given up for its silence behind
  # the last event, and the run behind that, the last one that the route allows, can bring nothing
  # (LOST, a short soak of replicas that fall silent, seed 5).
  Scenario Outline: A stream of 6 events is complete for an HTTP/<http> caller when its first run sends <sent> of them and falls silent, and a resumed run is unframed
    Given a router whose replicas end a stream in order after event <sent> of 6, where the first run falls silent, and a resumed run is unframed
    When an HTTP/<http> caller reads a stream of "/chat/a" to its end
    Then the caller got 6 events, and the stream is complete

    Examples:
      | http | sent |
      | 1.1  | 6    |
      | 1.0  | 6    |
      | 1.1  | 1    |
      | 1.1  | 2    |

  # Guards against a stream that looks complete where the first run says nothing of its end: the next
  # one must bring the last event again.
  Scenario Outline: A stream of 6 events does not look complete to an HTTP/<http> caller when its first run sends <sent> of them and falls silent, and <resumed>
    Given a router whose replicas end a stream in order after event <sent> of 6, where the first run falls silent, and <resumed>
    When an HTTP/<http> caller reads a stream of "/chat/a" to its end
    Then the caller got <sent> events, and no sign that the stream is complete

    Examples:
      | http | sent | resumed                      |
      | 1.1  | 6    | each resumed run is cut      |
      | 1.0  | 2    | each resumed run is cut      |
      | 1.1  | 1    | each resumed run is cut      |
      | 1.1  | 6    | a resumed run is reset       |
      | 1.1  | 6    | a resumed run brings nothing |

  # As above: a replica that has ended others early is not believed.
  Scenario: A stream whose first run falls silent behind event 6 is not complete after an unframed run at replicas that have ended others early
    Given a router whose replicas end a stream in order after event 6 of 6, where the first run falls silent, and a resumed run is unframed
    And the replicas have ended streams within an event before
    When an HTTP/1.1 caller reads a stream of "/chat/a" to its end
    Then the caller got 6 events, and no sign that the stream is complete

  # Guards against a whole stream that a router which stops cuts off, as it waits past its own end for
  # another run (LOST): the replica had ended well before the last sixth of the grace period.
  Scenario Outline: A whole stream that ends <span> ms after its start, right after which its router with 3 s of grace gets a SIGTERM, is complete when a resumed run <resumed>
    Given a router with 3 s of grace before replicas that end a whole stream <span> ms after its start, where a resumed run <resumed>
    When a caller reads a stream of "/chat/a", and its router gets a SIGTERM at once
    Then the caller that was there at the SIGTERM has 6 events, and the stream is complete

    Examples:
      | span | resumed        |
      | 500  | brings nothing |
      | 1500 | brings nothing |
      | 2000 | brings nothing |
      | 2000 | is unframed    |

  # Guards against a whole stream that a router which stops cuts off, as the replica falls silent for a
  # second right at its end (LOST): the process has not answered when the grace period ends.
  Scenario Outline: A whole stream of "<path>" whose replica is silent from its end past the grace period of its router is complete
    Given a router with 3 s of grace before replicas that send 6 of 6 events in 2000 ms, end the stream, and are silent for 1200 ms
    When a caller reads a stream of "<path>", and its router gets a SIGTERM at once
    Then the caller that was there at the SIGTERM has 6 events, and the stream is complete

    Examples:
      | path    |
      | /chat/a |
      | /once/a |

  # Guards against the reverse: a process that is killed within a stream, where nothing answers after it.
  Scenario Outline: A stream of "<path>" whose replica is killed after event 2 of 6, and whose router stops, does not look complete
    Given a router with 3 s of grace before replicas that send 2 of 6 events in 2000 ms, end the stream, and are gone and answer nothing for 3000 ms
    When a caller reads a stream of "<path>", and its router gets a SIGTERM at once
    Then the caller that was there at the SIGTERM has no sign that the stream is complete

    Examples:
      | path    |
      | /chat/a |
      | /once/a |

  # Guards against a stream that looks complete before its last event, as the silence of its replica has
  # used up the time in which another run was to disprove the end.
  Scenario Outline: A stream that ends after event 2 of 6, at a replica that is then silent for <silent> ms, does not look complete when a resumed run answers after 400 ms
    Given a router before replicas that end a stream after event 2 of 6 and are silent for <silent> ms, where a resumed run answers after 400 ms
    When a caller reads a stream of "/chat/a" with a silence at its end
    Then the stream is not complete before event 6

    Examples:
      | silent |
      | 0      |
      | 1300   |

  # Guards against a whole stream that is cut off, as its replica has closed the second connection,
  # which tells whether it lives, as idle before the stream ended (LOST).
  Scenario Outline: A whole stream of <path> that ends <span> ms after its start is complete, at replicas that say no start and close connections idle for <idle> ms
    Given a router before replicas that say no start, close connections idle for <idle> ms, and end a whole stream <span> ms after its start
    When a caller reads a stream of "<path>" without a length
    Then the caller has 6 events, and the stream is complete

    Examples:
      | path    | idle | span |
      | /once/a | 3000 | 1000 |
      | /once/a | 3000 | 4000 |
      | /chat/a | 3000 | 4000 |
