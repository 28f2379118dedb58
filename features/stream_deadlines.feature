Feature: How long ago a stream began at most, by the deadlines that callers have named

  # Guards against a deadline that is forgotten since a longer one was named before, so that a stream
  # counts as younger than it is, once the longer one is forgotten, too (issue 49).
  Scenario Outline: Callers have named deadlines of <named>, and one resumes a stream at <now> s with <left> s left, <where>
    When callers name the deadlines <named>
    And a caller resumes a stream at <now> s with <left> s left, <where>
    Then the stream began at most <age> ms ago

    # Deadlines are SPAN_S@NAMED_AT_S.
    Examples:
      | named                     | now  | left | where               | age     |
      | 600@0                     | 300  | 200  | here                | 400500  |
      | 600@0 15@1                | 300  | 10   | here                | 590500  |
      | 600@0 15@599              | 661  | 10   | here                | 5500    |
      | 600@0 15@500              | 661  | 10   | here                | 600000  |
      | 600@0 500@590 15@661      | 700  | 10   | here                | 490500  |
      | 600@0 500@590 15@661      | 700  | 10   | at another router   | 490500  |
      | 600@0 500@590 15@661      | 700  | 10   | by the row          | 490500  |
      | 600@0 500@590 15@661      | 1080 | 10   | here                | 490500  |
      | 600@0 500@590 15@1100     | 1155 | 10   | here                | 5500    |
      | 3600@0 3000@3500 15@3700  | 3700 | 10   | here                | 2990500 |
      | 600@0                     | 700  | 10   | here                | 600000  |
      | 600@0                     | 300  | 700  | here                | 86400000 |

  # Guards against deadlines of a service that are too many, and then forgotten (issue 49).
  Scenario Outline: Callers name many deadlines, seed <seed>
    When callers name 300 deadlines of random length at random moments, seed <seed>
    Then no stream of theirs counts as younger than it is, at any moment
    And at most 4 deadlines are known

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
