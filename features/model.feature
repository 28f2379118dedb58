Feature: The specification of the core protocol

  Scenario: The specification holds for every path of 6 steps
    When the specification is searched to 6 steps
    Then no path violates an invariant

  Scenario Outline: The search finds the fault: <mutation>
    When the specification with the fault "<mutation>" is searched to 6 steps
    Then a path violates an invariant

    Examples:
      | mutation                             |
      | lease without a majority             |
      | no freshness check                   |
      | vouching without a majority          |
      | acceptance not announced             |
      | restarted voter vouches immediately  |
      | unconditional claim                  |
      | dispatch again after a lost response |
      | reported as not run after a dispatch |

  Scenario Outline: Every order of <depth> events of <system> keeps the invariants
    When every order of <depth> events of "<system>" is searched
    Then no path violates an invariant

    Examples:
      | system                   | depth |
      | rows                     | 6     |
      | rows of a restored store | 7     |
      | a named limit            | 7     |
      | an idempotent request    | 8     |
      | a non-idempotent request | 8     |
      | a resumable stream       | 8     |
      | a non-resumable stream   | 8     |
      | a cold replica           | 9     |

  Scenario Outline: The search of event orders finds the mutation: <mutation>
    When every order of <depth> events of "<system>" is searched with the mutation "<mutation>"
    Then a path violates an invariant

    Examples:
      | mutation                  | system                   | depth |
      | apply_older_rows      | rows                     | 6     |
      | apply_removed_rows    | rows                     | 6     |
      | accept_old_era        | rows of a restored store | 7     |
      | ignore_named_limit    | a named limit            | 8     |
      | compare_only_versions | rows                     | 7     |
      | retry_everything      | a non-idempotent request | 6     |
      | retry_any_failure     | a non-resumable stream   | 6     |
      | retry_any_failure     | an idempotent request    | 6     |
      | report_not_run        | a non-idempotent request | 6     |
      | use_fixed_cold_limit  | a cold replica           | 6     |
      | ignore_cold_limit     | a cold replica           | 6     |
