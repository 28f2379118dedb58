Feature: Requests through routers, engines and services that run as separate processes

  Scenario Outline: A chat gets a complete response through any router
    Given the small deployment
    When a chat of <tokens> tokens is sent to <router>, streamed: <streamed>
    Then the response is complete and contains its request id

    Examples:
      | router   | tokens | streamed |
      | router-1 | 12     | yes      |
      | router-2 | 12     | yes      |
      | router-1 | 5      | no       |
      | router-2 | 5      | no       |

  Scenario Outline: A non-idempotent request has one effect, also when the caller resends it
    Given the small deployment
    When the non-idempotent request "<key>" is sent to <first> and again to <second>
    Then both responses are equal
    And the service counts 1 effect for "<key>"

    Examples:
      | key    | first    | second   |
      | same   | router-1 | router-1 |
      | across | router-1 | router-2 |

  Scenario: An operator's patch takes effect at every router
    Given the small deployment
    When zone-2 is taken out through router-1
    Then every router gets the new version
    And no replica of zone-2 gets a chat
    When zone-2 is taken in through router-2
    Then every router gets the new version

  Scenario: A patch against an old version changes nothing
    Given the small deployment
    When a patch is sent against the version before the current one
    Then the response is a conflict that lists the patch accepted since
    And the version has not changed

  Scenario Outline: An invalid request is refused with a specific error and is not run
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
      | an invalid deadline   | 400    | header_invalid          |
      | an invalid priority   | 400    | header_invalid          |
      | no idempotency key    | 400    | idempotency_key_missing |

  Scenario: An engine's error response to a streamed chat is forwarded unchanged
    Given the small deployment
    When a chat of -1 tokens is sent to router-1, streamed: yes
    Then the engine's error response is forwarded with status 400
