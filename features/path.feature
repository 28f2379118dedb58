Feature: The whole path as separate processes

  Scenario Outline: A chat is answered whole through any router
    Given the small deployment
    When a chat of <tokens> tokens is sent to <router>, streamed: <streamed>
    Then the answer is whole and its request id is echoed

    Examples:
      | router   | tokens | streamed |
      | router-1 | 12     | yes      |
      | router-2 | 12     | yes      |
      | router-1 | 5      | no       |
      | router-2 | 5      | no       |

  Scenario Outline: A marked call has one effect, also when it is sent again
    Given the small deployment
    When the marked call "<key>" is sent to <first> and again to <second>
    Then both answers are equal
    And the service counts 1 effect for "<key>"

    Examples:
      | key    | first    | second   |
      | same   | router-1 | router-1 |
      | across | router-1 | router-2 |

  Scenario: An operator's patch is in force at every router
    Given the small deployment
    When zone-2 is taken out by router-1
    Then every router soon has the new version
    And no replica of zone-2 gets a chat
    When zone-2 is taken in by router-2
    Then every router soon has the new version

  Scenario: A patch against a stale number changes nothing
    Given the small deployment
    When a patch is sent against a version that is one too old
    Then the answer is a conflict that shows the change since
    And the version has not changed

  Scenario Outline: A bad request gets one clear error and did not run
    Given the small deployment
    When a chat is sent with <fault>
    Then the error is <status> "<code>" with run "not_run"

    Examples:
      | fault                 | status | code                    |
      | no workspace          | 400    | workspace_missing       |
      | an unknown workspace  | 404    | workspace_unknown       |
      | an unknown model      | 404    | model_unknown           |
      | malformed JSON        | 400    | body_invalid            |
      | no messages           | 400    | body_invalid            |
      | a body over the limit | 413    | body_too_large          |
      | a bad deadline        | 400    | header_invalid          |
      | a bad priority        | 400    | header_invalid          |
      | a mark without a key  | 400    | idempotency_key_missing |

  Scenario: An engine's own refusal of a streamed chat reaches the caller as it is
    Given the small deployment
    When a chat of -1 tokens is sent to router-1, streamed: yes
    Then the engine's refusal is passed on with status 400
