Feature: Rows on software versions that do not fit into one message between routers

  # Guards against a message that is dropped whole, with all else that it says, as its rows exceed a
  # datagram, and against rows that are taken for the newest ones where some are missing.
  Scenario Outline: <count> rows of <steps> steps reach <peers> routers where <lost>
    Given a router that knows <count> rows of <steps> steps, and <peers> others where <lost>
    When it sends a round each 250 ms until each of them holds its rows for the newest ones
    Then that takes at most <rounds> rounds
    And each of them has all rows and heard of all loads
    And none held its rows for the newest ones before it had all

    Examples:
      | count | steps | peers | rounds | lost                       |
      | 3     | 24    | 2     | 1      | nothing is lost            |
      | 200   | 2     | 2     | 1      | nothing is lost            |
      | 200   | 24    | 2     | 20     | nothing is lost            |
      | 200   | 24    | 2     | 60     | each third message is lost |
      | 200   | 24    | 60    | 20     | nothing is lost            |
      | 600   | 24    | 2     | 60     | nothing is lost            |

  # Guards against a change that waits until its row's turn comes.
  Scenario Outline: A row that changes among <count> comes with the next message
    Given a router that knows <count> rows of 24 steps, and 2 others where nothing is lost
    And it has sent a round each 250 ms until each of them holds its rows for the newest ones
    When the row of service <number> changes, and it sends 1 round
    Then the others have the change

    Examples:
      | count | number |
      | 200   | 0      |
      | 200   | 199    |
      | 600   | 300    |
