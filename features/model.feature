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
