Feature: The size of messages between routers
  Each router sends some thirty messages a second, most of them to other zones.

  # Guards against messages that spend most of their bytes on names of empty fields, and against a
  # receiver that reads a missing field as something else than an empty one.
  Scenario: A message of a router with nothing to report is short, and is read as it was
    Given the message of a router that has nothing to report
    When it is sent as a datagram
    Then the datagram takes at most 180 bytes
    And it is read as the same message

  # Guards against a field whose value is dropped as if it were empty.
  Scenario Outline: A message whose <field> is <value> is read as it was
    Given the message of a router that has nothing to report
    And its <field> is <value>
    When it is sent as a datagram
    Then it is read as the same message

    Examples:
      | field              | value           |
      | releases_age_ms    | 0               |
      | releases_age_ms    | 30              |
      | store_restored     | True            |
      | zone               | "za"            |
      | cut_zones          | ("zb",)         |
      | hold_offs          | {"r1": 0}       |
      | suspected_restarts | ("r1",)         |
      | router_count       | 3               |

  # Guards against silences that take a sixth of all messages of a large fleet, and against a router
  # that has just started and does not hear of them.
  Scenario Outline: Of 8 rounds among <peers> other routers, <told> tell the silences to <receivers>
    Given a router that has heard <peers> others and remembers a silence
    When it makes its messages of 8 rounds to <receivers>
    Then <told> of them tell the silence

    Examples:
      | peers | receivers                  | told |
      | 3     | those that were sent others | 8   |
      | 8     | those that were sent others | 8   |
      | 9     | those that were sent others | 2   |
      | 194   | those that were sent others | 2   |
      | 194   | those that have just started | 8  |
