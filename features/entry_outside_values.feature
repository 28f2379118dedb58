Feature: What another process sends never stops a router
  Numbers and text from outside are read within bounds that each later step can hold, and one bad
  item ends nothing that serves others.

  # Guards against an address with a port of 5,000 digits that ends every router, and the like.
  Scenario Outline: A number that cannot be held is refused where it is read: <where>
    When a router reads <where>
    Then what it read is "<result>"

    Examples: callers' requests are refused with 400
      | where                                   | result             |
      | a request with a long deadline          | 400 invalid_number |
      | a request with a long last event id     | 400 invalid_number |
      | a request with a long number of tokens  | 400 invalid_number |
      | a request with a superscript as tokens  | 400 invalid_number |
      | a request with a word as deadline       | no deadline        |

    Examples: what is odd in an answer counts as not said, and the answer is delivered
      | where                                   | result             |
      | an answer with a load of 1e20           | no load            |
      | an answer with a load of 5,000 digits   | no load            |
      | an answer with a long cold time         | no cold time       |
      | an answer with a long keep-alive        | no keep-alive      |
      | an answer with a hold-off of 1e308      | a bounded hold-off |
      | an answer with a limit of 1e308         | a bounded limit    |
      | an answer with a limit of NaN           | an unreadable limit |
      | an event with an id of 5,000 digits     | an invalid answer  |

    Examples: rows are invalid
      | where                                   | result             |
      | an entry with a port of 5,000 digits    | an invalid row     |
      | an entry with a line break in its key   | an invalid row     |
      | a configuration with the version 1e999  | an invalid row     |
      | a configuration with a weight in words  | an invalid row     |
      | a configuration with half a surrogate   | an invalid row     |

    Examples: answers of the store, and calls of the own deployment
      | where                                   | result             |
      | a store's answer with the time 1e999    | a store error      |
      | a store's answer with an era of 5,000 digits | a store error |
      | a store's answer with 100,000 nested lists | a store error   |
      | an own store's answer that is no JSON   | a store error      |
      | a load report of 1e999                  | no report          |
      | a load report of 100,000 nested lists   | no report          |

  # Guards against one odd message, row or answer that ends a task on which other requests depend.
  Scenario Outline: Whatever a sound <message> is changed to, it is read or refused with its own error
    When one value of a sound <message> after another is replaced by an odd one
    Then each is read or refused with its own error, and the router goes on with what was read

    Examples:
      | message                     |
      | gossip message              |
      | message about loads         |
      | message about streams       |
      | message about crashes       |
      | page of rows                |
      | request for rows            |
      | entry of an upstream        |
      | configuration               |
      | row on software versions    |
      | answer of the store         |
      | head of an answer           |
      | head of a request           |

  # Guards against a limit that a replica no longer has because it was written in a way that cannot
  # be read.
  Scenario: A limit that cannot be read does not lift the one that is known
    Given a router that knows 3 replicas
    When a replica names a limit of 5, and then one that cannot be read
    Then the replica still has a limit of 5
