Feature: The soak of real routers under faults from outside

  Scenario Outline: A short soak with seed <seed> breaks no promise
    When the soak runs for 8 s with seed <seed>
    Then no promise was broken

    Examples:
      | seed |
      | 1    |
      | 6    |

  Scenario Outline: The soak finds a router that may <planted>
    When the soak runs for 8 s with the planted fault "<planted>" and only the faults "<faults>"
    Then a promise was broken as "<text>"

    Examples:
      | planted           | faults                    | text            |
      | repeat_everything | replica_reset,replica_fault | ran 2 times   |
      | promise_not_run   | replica_reset,replica_fault | but ran       |
      | take_any_answer   | replica_fault             | not its own     |
      | keep_old_keys     | none                      | a key gone      |
      | stop_at_once      | router_stop               | cut at its stop |
      | resume_blindly    | replica_fault             | not its own     |
