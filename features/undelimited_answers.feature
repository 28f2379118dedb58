Feature: Answers of upstreams that have neither a length nor chunks, in the own deployment

  # Guards against half an answer that is taken for whole, as the kernel closes the connections of a dead process in order.
  Scenario Outline: A <call> call gets <result> from upstreams that send <bodies> without a length
    Given the deployment with old upstreams
    When a <call> call is sent to a service whose upstreams send <bodies>
    Then the caller gets <result>

    Examples:
      | call        | bodies                | result              |
      | GET         | whole JSON            | the whole body      |
      | run-once    | whole JSON            | the whole body      |
      | HEAD        | whole text            | no body             |
      | GET         | cut JSON              | 502 upstream_failed |
      | GET         | cut text              | 502 upstream_failed |
      | run-once    | cut JSON              | 502 outcome_unknown |
      | run-once    | cut text              | 502 outcome_unknown |
      | GET         | whole text            | 502 upstream_failed |
      | run-once    | whole text            | 502 outcome_unknown |

  # Guards against half an answer in place of a retry.
  Scenario: An idempotent call whose upstream dies in the middle of its answer is retried at another one
    Given the deployment with old upstreams
    When GET calls are sent to a service until its upstream that sends cut JSON has died
    Then every caller got the whole body

  # Guards against half a completion that is taken for whole.
  Scenario Outline: A <kind> chat gets <result> from engines that send <bodies> without a length
    Given the deployment with old upstreams
    When a <kind> chat is sent to engines that send <bodies>
    Then the caller gets <result>

    Examples:
      | kind     | bodies       | result                                 |
      | single   | whole JSON   | the whole body                         |
      | single   | cut JSON     | 502 upstream_failed                    |
      | run-once | cut JSON     | 502 outcome_unknown                    |
      | streamed | whole stream | a stream that ends with its end marker |
      | streamed | cut stream   | a stream that ends with an error       |

  # Guards against an end that a router reads late, as it waits for a slow caller, and takes for that of a whole stream.
  Scenario: A caller that reads slowly gets an error at the end of a stream whose engine died
    Given the deployment with old upstreams
    When a slowly read chat is sent to engines that send cut large stream
    Then the caller gets a stream that ends with an error
