Feature: Routers know the time of the store's clock by its answers

  # Guards against steps that are dated too early, and streams joined, as the store's answers are on their way for long (issue 52).
  Scenario Outline: The time of the store's clock after answers that were <late> ms late
    Given a store whose clock is 5000000 ms ahead
    When it answers <late> ms late, 1000 ms after each other
    Then its clock is taken to be <behind> ms behind

    Examples:
      | late                | behind |
      | 0                   | 0      |
      | 3 480 240           | 3      |
      | 480 240 3           | 3      |
      | 480 480 480         | 480    |
      | 3 8000              | 8000   |
      | 3 8000 3            | 3      |
      | -900000 3           | 3      |

  # Guards against an answer that counts for ever, while clocks drift apart (issue 52).
  Scenario: An answer counts for two minutes at most
    Given a store whose clock is 5000000 ms ahead
    When it answers 0 ms late, 1000 ms after each other
    And it answers 40 ms late each second for 121 s
    Then its clock is taken to be 40 ms behind
