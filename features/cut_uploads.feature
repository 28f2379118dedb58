Feature: Answers that are cut by a reset while a long request is sent

  A write that fails takes the pending error of its socket, so that the reset is then read as an
  orderly end.  The answer must not be taken for complete unless its framing shows that it is.

  # Guards against a part of an answer that is forwarded as a complete one, on each kind of connection.
  Scenario Outline: An answer <framing> with <bytes>, reset during an upload over <connection>, is <result>
    Given an upstream that answers a long upload <framing> with <bytes>, and resets the connection
    When 8 MB are sent to it <count> times over <connection>
    Then each of the answers is <result>

    # Its relay reads and writes at the same time, so the reset may show at either.
    Examples: Connections that are relayed
      | connection           | framing          | bytes | count | result |
      | a relayed connection | without a length | part  | 12    | broken |
      | a relayed connection | with a length    | part  | 3     | broken |
      | a relayed connection | in chunks        | part  | 3     | broken |
      | a relayed connection | with a length    | all   | 12    | whole  |
      | a relayed connection | in chunks        | all   | 12    | whole  |

    Examples: Direct connections
      | connection          | framing          | bytes | count | result |
      | a direct connection | without a length | part  | 3     | broken |
      | a direct connection | with a length    | part  | 3     | broken |
      | a direct connection | in chunks        | part  | 3     | broken |
      | a direct connection | with a length    | all   | 3     | whole  |
      | a direct connection | in chunks        | all   | 3     | whole  |

    # The part of the JSON is a whole JSON object itself.
    Examples: The client of the own deployment
      | connection              | framing                   | bytes | count | result |
      | the deployment's client | without a length          | part  | 3     | broken |
      | the deployment's client | without a length, as JSON | part  | 3     | broken |
      | the deployment's client | with a length             | part  | 3     | broken |
      | the deployment's client | in chunks                 | part  | 3     | broken |
      | the deployment's client | with a length             | all   | 3     | whole  |
      | the deployment's client | in chunks                 | all   | 3     | whole  |

  # Guards against a connection that is used again though its request was not sent whole.
  Scenario Outline: A direct connection whose write <fate> is not used again
    Given an upstream that answers a long upload with a length with all, and <ending>
    When 8 MB are sent to it, and the write <fate>
    Then the connection cannot be used again

    Examples:
      | fate         | ending                |
      | fails        | resets the connection |
      | is cancelled | keeps the connection  |

  # Guards against a relay that resets or breaks off what an upstream ends in order.
  Scenario: An answer without a length that ends in order after the whole upload is whole
    Given an upstream that reads a long upload, answers without a length, and closes the connection
    When 8 MB are sent to it 3 times over a relayed connection
    Then each of the answers is whole

  # Guards against a status that is none, which callers take for a failure of their own connection.
  Scenario Outline: A status of <status> is not passed on over <connection>
    Given an upstream that answers with the status <status>
    When a request is sent to it over <connection>
    Then each of the answers is broken

    Examples:
      | status | connection              |
      | 000    | a direct connection     |
      | 000    | a relayed connection    |
      | 000    | the deployment's client |
      | 001    | the deployment's client |
      | 099    | a direct connection     |
      | 099    | the deployment's client |
