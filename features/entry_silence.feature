Feature: Silence of an upstream that accepts connections

  A slow upstream must not lose its running work to another one.  A lost answer shows in the
  answers to later requests, a hung upstream in that it answers nobody.

  Scenario Outline: What a silence of an upstream means
    Given a request was sent to "r0" at 0 ms, and answers arrive as "<answers>"
    Then its silence is "<cause>" after <span> ms

    # Answers are SENT>ARRIVED in ms, of the same route but where another one stands before them.
    Examples:
      | answers                                          | span | cause       |
      |                                                  | 1700 | slow        |
      |                                                  | 1800 | hung        |
      | -500>900,-400>1000,-300>1700                     | 1800 | slow        |
      | -500>900,-400>1000,-300>1700                     | 3400 | slow        |
      | -500>900,-400>1000,-300>1700                     | 3500 | hung        |
      | 100>300,200>400                                  | 1100 | slow        |
      | 100>300,200>400,300>500                          | 900  | slow        |
      | 100>300,200>400,300>500                          | 1000 | answer_lost |
      | other:100>300,other:200>400,other:300>500        | 1100 | slow        |
      | -100>200,100>300,200>400,300>2500                | 3000 | answer_lost |
      | -100>50,100>1450,200>1450,300>1450               | 1500 | slow        |
      | -100>50,100>1450,200>1450,300>1450               | 2350 | slow        |
      | -100>50,100>1450,200>1450,300>1450               | 2400 | answer_lost |

  Scenario: Work that takes longer than that of later requests is not run again
    Given a store, two replicas of each service, and a router
    And the replicas "till-1,till-2" send an event every 100 ms
    And each of the replicas "till-1,till-2" takes 800 ms for its first request
    When 30 requests to "/check/a" are sent, one each 30 ms
    Then all are answered with 200
    And each request ran once

  Scenario: A slow replica keeps the work that it runs
    Given a store, two replicas of each service, and a router
    And each of the replicas "lm-1,lm-2" sends a long stream, and takes 2500 ms for a first event
    When 4 requests to "/chat/a" are sent at once
    Then all are answered with 200
    And each request ran once

  Scenario: A lost answer is noticed by the answers to later requests
    Given a store, two replicas of each service, and a router
    And the replicas "till-1,till-2" send an event every 200 ms
    And the replica "till-1" keeps its first answer to itself
    When 40 requests to "/check/a" are sent, one each 50 ms
    Then all are answered with 200 within 1700 ms

  # Guards against a router that stood still and takes upstreams for hung whose answers wait unread.
  Scenario: Answers that arrive while a router stands still are read, and not run again
    Given a store, two replicas of each service, and a router
    And the replicas "lm-1,lm-2" send an event every 100 ms
    When the router stands still for 2200 ms within 8 streams, 5 times
    Then all are answered with 200
    And each request ran once
