Feature: Random runs of whole entry routers on a virtual network

  Scenario Outline: A random run of entry routers with seed <seed>
    When entry routers run for <span> virtual seconds with seed <seed>
    Then nothing that must always hold was broken

    Examples:
      | seed | span |
      | 1    | 15   |
      | 2    | 15   |
      | 10   | 15   |

  Scenario Outline: Random runs find routers that may <planted>
    When entry routers run for <span> s with "<planted>" and only the faults "<faults>" until one breaks
    Then a promise was broken with "<text>"

    Examples:
      | planted                | span | faults | text                         |
      | retry_everything       | 10   | spoil  | ran 2 times                  |
      | report_not_run         | 10   | spoil  | but ran                      |
      | accept_any_response    | 10   | spoil  | not its own whole answer     |
      | skip_drain             | 10   | stop   | cut at its stop              |
      | ignore_event_ids       | 10   | spoil  | not its own whole answer     |
      | use_draining_upstreams | 10   | drain  | too late                     |
      | use_evacuated_zones    | 16   | none   | too late                     |
      | ignore_cold_limit      | 10   | none   | requests a second while cold |
      | retry_without_budget   | 10   | spoil  | repeats at                   |
      | omit_expected_replica  | 10   | none   | without its name             |
      | ignore_disconnects     | 10   | none   | clients that had left        |
