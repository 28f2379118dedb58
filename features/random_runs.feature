Feature: Random runs assert what must always hold

  Scenario Outline: A random run of load, operators and faults with seed <seed>
    When a random run of 30 virtual seconds is made with seed <seed>
    Then nothing that must always hold was broken

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 1000 |
      | 1005 |

  Scenario Outline: A random run finds a program with this fault: <mutation>
    When a random run of 30 virtual seconds is made with seed <seed> and the fault "<mutation>"
    Then something that must always hold was broken

    Examples:
      | seed | mutation            |
      | 1    | every claim is ours |
      | 4    | one vote is enough  |
