Feature: Responses that end with their connection, in the own deployment

  # Guards against a connection that stays open behind a whole response, so that its caller waits on.
  Scenario Outline: A <kind> chat of a caller that <caller> ends with its connection
    Given the small deployment
    When a <kind> chat is sent by a caller that <caller>
    Then the whole response comes and the connection ends within 3 seconds

    Examples:
      | kind     | caller           |
      | streamed | speaks HTTP/1.0  |
      | single   | speaks HTTP/1.0  |
      | streamed | asks for a close |
      | single   | asks for a close |
