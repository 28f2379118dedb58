Feature: Writes of the store that get no answer and are performed later

  # Guards against a stand-in that loses a write whose condition still holds, or performs one whose
  # condition does not, so that no soak plays it (issue 52).
  Scenario Outline: A write without an answer is performed later if its condition still holds, <change>
    Given a store that performs all writes 200 ms late, with a row at version 1
    When a router writes the row, expected at version 1, and <change> before it is performed
    Then the router has no answer, and the row is "<row>" 400 ms later without another call

    Examples:
      | change                                     | row   |
      | nothing else is written                    | v2    |
      | another row is written                     | v2    |
      | the row is written                         | other |
      | the store goes back to a copy with the row | v2    |
      | the store goes back to a copy without it   | none  |

  # Guards against logs that do not tell a step that was performed long after its call from one that
  # was written twice (issue 52).
  Scenario: The log of a router tells the age of a step that was performed late
    When the write of a release's step is performed 3000 ms late, and all routers start anew 2900 ms after its call, beside callers who name none
    Then the router that started last logs how old the row's steps were, the newest about 3200 ms
