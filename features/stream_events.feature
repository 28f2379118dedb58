Feature: The events of a stream, and which of them follow what its caller has

  # Guards against events that are merged, or whose id is missed, by an unusual end of a line.
  Scenario Outline: Events are found at each place of a split: <bytes>
    When the bytes "<bytes>" arrive in two parts, split at each place, and byte by byte
    Then the events have the ids "<ids>", and all bytes are in them

    Examples:
      | bytes                                             | ids     |
      | id: 1\ndata: a\n\nid: 2\ndata: b\n\n              | 1 2     |
      | id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n  | 1 2     |
      | id: 1\rdata: a\r\rid: 2\rdata: b\r\r              | 1 2     |
      | id: 1\ndata: a\n\r\nid: 2\r\ndata: b\r\n\n        | 1 2     |
      | id: 1\ndata: a\r\n\nid: 2\ndata: b\n\r\n          | 1 2     |
      | id: 1\r\ndata: a\r\n\rid: 2\rdata: b\n\r          | 1 2     |
      | id:1\ndata: a\n\ndata: b\nid:2\n\n                | 1 2     |
      | id: 1\nid: 2\ndata: a\n\n                         | 2       |
      | id: 1\nid\ndata: a\n\n                            | none    |
      | ï»¿id: 1\ndata: a\n\nid: 2\ndata: b\n\n           | 1 2     |
      | : wait\n\nid: 1\ndata: a\n\ndata: b\n\n           | none 1 none |

    # Guards against a whole stream that counts as ended within an event.
    Examples: empty lines behind the last event
      | bytes                                             | ids     |
      | id: 1\ndata: a\n\n\n                             | 1 none  |
      | id: 1\r\ndata: a\r\n\r\n\r\n                     | 1 none  |
      | id: 1\ndata: a\n\n\n\n                           | 1 none  |

  # Guards against pieces that come twice or are joined over the runs of a stream.
  Scenario Outline: What of a run follows what the caller has: <case>
    Given a caller that has "<has>" of a stream
    When a run "<start>" brings "<run>"
    Then the caller gets "<gets>", and the run <result>

    # A number is an event with that id, x one without an id, c a comment.
    Examples:
      | case                                      | has     | start    | run       | gets    | result           |
      | the rest                                  | 1 2     | goes on  | 3 4       | 3 4     | is sound         |
      | the whole stream                          | 1 2     | goes on  | 1 2 3     | 3       | is sound         |
      | a gap                                     | 1 2     | goes on  | 4 5       |         | is broken off    |
      | a text                                    | 1 2     | goes on  | x         |         | is no part of it |
      | a comment first                           | 1 2     | goes on  | c 3       | c 3     | is sound         |
      | an event without id that the caller has   | 1 x 2   | goes on  | 1 x 2 x 3 | x 3     | is sound         |
      | nothing more                              | 1 2     | goes on  |           |         | is sound         |
      | an end before what the caller has         | 1 2 3   | goes on  | 1 2       |         | is no part of it |
      | the same, taken up by the caller          | 1 2 3   | is taken up | 1 2    |         | is no part of it |
      | an end mark, taken up by the caller       | 1 2 3   | is taken up | x      | x       | is sound         |
      | ids that do not begin with 1              |         | is fresh | 5 6       | 5 6     | is sound         |
      | ids that go back                          |         | is fresh | 1 2 1 2 3 | 1 2 3   | is sound         |

  # Guards against runs that are joined where the caller's place in the stream is not known.
  Scenario Outline: After "<has>" another run <result>
    Given a caller that has "<has>" of a stream
    Then another run <result>

    Examples:
      | has   | result           |
      | 1 2   | may go on        |
      | c     | may go on        |
      | 1 c   | may go on        |
      | x 1   | may go on        |
      | x     | may not go on    |
      | 1 x   | may not go on    |
      | 1 x c | may not go on    |

  # Guards against bytes without end that take the processor's time from all callers (others waited
  # up to 20 s beside 600 such streams).
  Scenario Outline: To look for the end of an event in <bytes> is fast
    When 1 MB of <bytes> arrive in parts of 16384 bytes
    Then that took at most <most> times the time to look for a character in them

    Examples:
      | bytes                         | most |
      | plain bytes                   | 0.5  |
      | plain bytes behind a CR       | 1.5  |
