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
