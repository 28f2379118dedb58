Feature: A fleet keeps its invariants in random runs of load and faults

  Scenario Outline: No invariant is violated in a random run with seed <seed>
    When a random run of 30 virtual seconds is made with seed <seed>
    Then no invariant was violated

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 1000 |
      | 1005 |
      | 5019 |

  Scenario Outline: Random runs detect the mutation "<mutation>"
    When random runs of 30 virtual seconds are made with the mutation "<mutation>" until one fails
    Then an invariant was violated

    Examples:
      | mutation            |
      | every claim is ours |
      | one vote is enough  |
