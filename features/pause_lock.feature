Feature: Pauses of a stand-in's streams beside suspensions of its process

  # Guards against a soak that lets a replica be silent for twice as long as a sound one may: a stream
  # pauses right before its process is suspended, or right after.
  Scenario Outline: While the lock of "lm-1" is held for <holder>, <other> of "<replica>" <begins>
    When the lock of replica "lm-1" is held for <holder>
    Then the lock of replica "<replica>" <begins> for <other>

    Examples:
      | holder       | other        | replica | begins      |
      | a suspension | a pause      | lm-1    | is not free |
      | a suspension | a suspension | lm-1    | is not free |
      | a pause      | a suspension | lm-1    | is not free |
      | a pause      | a pause      | lm-1    | is free     |
      | a suspension | a suspension | lm-2    | is free     |
      | nothing      | a pause      | lm-1    | is free     |
      | nothing      | a suspension | lm-1    | is free     |
