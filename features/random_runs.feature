Feature: Random runs assert what must always hold

  Scenario Outline: A random run of load, operators and faults with seed <seed>
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

  Scenario Outline: Random runs find a program with this fault: <mutation>
    When random runs of 30 virtual seconds are made with the fault "<mutation>" until one breaks
    Then an invariant was violated

    Examples:
      | mutation            |
      | every claim is ours |
      | one vote is enough  |
