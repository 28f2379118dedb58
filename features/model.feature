Feature: The specification of the core protocol

  Scenario: The specification holds for every path of 6 steps
    When the specification is searched to 6 steps
    Then no path breaks it

  Scenario Outline: The search finds the fault: <mutation>
    When the specification with the fault "<mutation>" is searched to 6 steps
    Then a path breaks it

    Examples:
      | mutation                           |
      | no majority                        |
      | no freshness check                 |
      | vouching without a majority        |
      | acceptance not announced           |
      | restarted voter vouches at once    |
      | claim without condition            |
      | dispatch again after a lost answer |
      | not run after a dispatch           |

  Scenario Outline: Every order of <depth> events of <system> keeps what is promised
    When every order of <depth> events of "<system>" is searched
    Then no path breaks it

    Examples:
      | system                | depth |
      | rows                  | 6     |
      | an idempotent request | 8     |
      | a request to run once | 8     |
      | a stream to resume    | 8     |
      | a stream to run once  | 8     |
      | a cold replica        | 9     |

  Scenario Outline: The search of orders finds routers that <planted>
    When every order of <depth> events of "<system>" is searched with "<planted>" planted
    Then a path breaks it

    Examples:
      | planted               | system                | depth |
      | apply_older_rows      | rows                  | 6     |
      | apply_removed_rows    | rows                  | 6     |
      | compare_only_versions | rows                  | 7     |
      | retry_everything      | a request to run once | 6     |
      | retry_any_failure     | a stream to run once  | 6     |
      | retry_any_failure     | an idempotent request | 6     |
      | report_not_run        | a request to run once | 6     |
      | use_fixed_cold_limit  | a cold replica        | 6     |
      | ignore_cold_limit     | a cold replica        | 6     |
