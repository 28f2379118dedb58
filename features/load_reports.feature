Feature: Loads that upstreams report in their answers
  Answers name running and waiting requests and slots; some also name how long work takes at the
  moment, in percent of the usual time.

  # Guards against dropping a whole report for a figure that is new or cannot be read.
  Scenario Outline: The known figures of a report of "<field>" are used
    When an answer reports the load "<field>"
    Then its load is <load>

    Examples:
      | field          | load                                                     |
      | 3,0,8          | 3 running, 0 waiting, 8 slots, work takes 100 percent    |
      | 3,0,8,250      | 3 running, 0 waiting, 8 slots, work takes 250 percent    |
      | 3, 1, 8, 100   | 3 running, 1 waiting, 8 slots, work takes 100 percent    |
      | 3,0,8,250,7    | 3 running, 0 waiting, 8 slots, work takes 250 percent    |
      | 3,0,8,x        | 3 running, 0 waiting, 8 slots, work takes 100 percent    |
      | 3,0,8,         | 3 running, 0 waiting, 8 slots, work takes 100 percent    |
      | 3,0,8,0        | 3 running, 0 waiting, 8 slots, work takes 100 percent    |
      | 3,0            | unknown                                                  |
      | 3,x,8,100      | unknown                                                  |
