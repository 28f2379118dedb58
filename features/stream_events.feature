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
