Feature: Routers of the own deployment do not take when they noticed something for when it happened

  # Guards against evidence that is dated by when a slow answer was read, or by a write that says nothing of the other number.
  Scenario Outline: Evidence is not younger than the read that gave it when <step>
    Given a router whose store has a configuration and a view
    When <step>
    Then its evidence is at least 3000 ms old

    Examples:
      | step                                                      |
      | the answer that tells of a newer patch takes 3000 ms      |
      | a patch is accepted after voters agreed within 3000 ms    |
      | a view is written after voters agreed within 3000 ms      |
