Feature: Random runs of whole entry routers on a virtual network

  Scenario Outline: A random run of entry routers with seed <seed>
    When entry routers run for <span> virtual seconds with seed <seed>
    Then no invariant was violated

    Examples:
      | seed | span |
      | 1    | 15   |
      | 2    | 15   |
      | 10   | 15   |

  Scenario Outline: Random runs find routers that may <planted>
    When entry routers run for <span> s with "<planted>" and only the faults "<faults>" until one breaks
    Then a promise was broken with "<text>"

    Examples:
      | planted                | span | faults     | text                         |
      | repeat_everything      | 10   | spoil      | ran 2 times                  |
      | promise_not_run        | 10   | spoil      | but ran                      |
      | take_any_answer        | 10   | spoil      | not its own whole answer     |
      | stop_at_once           | 10   | stop       | cut at its stop              |
      | resume_blindly         | 10   | spoil      | not its own whole answer     |
      | use_leaving_upstreams  | 10   | drain      | too late                     |
      | use_emptied_zones      | 16   | none       | too late                     |
      | spare_no_cold_upstream | 10   | none       | requests a second while cold |
      | repeat_without_budget  | 10   | spoil      | repeats at                   |
      | send_to_any_name       | 10   | none       | without its name             |
      | work_for_nobody        | 10   | none       | clients that had left        |
