Feature: Only the holder of the order lease sends orders to engines

  Scenario Outline: The lease <event>
    Given two order dispatchers on one store
    When the lease <event>
    Then <result>

    Examples:
      | event                                                              | result                                       |
      | is free and the first dispatches an order                          | the engine got 1 order, fencing numbers 1    |
      | is held by the first and the second dispatches an order            | the second is refused with the holder's name |
      | expires and the second dispatches an order                         | the engine got 2 orders, fencing numbers 1,2 |
      | expires while the first is frozen before its order                 | the first sends no order                     |
      | is acquired by a write whose answer is lost                        | the engine got 1 order, fencing numbers 1    |
      | is taken over by the second and the first dispatches another order | the engine got 2 orders, fencing numbers 1,2 |

  Scenario: Orders that load weights keep the minimum interval of the weight store
    Given two order dispatchers on one store
    When the first dispatches 3 load orders
    Then each is sent at least 2000 ms after the previous one, and the first after the start

  Scenario Outline: An engine that <checks> fencing numbers gets an order with an old one
    Given the small deployment
    When an engine that <checks> fencing numbers gets an order with number 5 and one with number 4
    Then the last status is <status> and the engine kept <count> orders

    Examples:
      | checks  | status | count |
      | checks  | 409    | 1     |
      | ignores | 200    | 2     |

  Scenario: An operator's order reaches the engine
    Given the small deployment
    When the tool runs "order load-adapter --pool till till-1 wash-2" with the token
    Then its exit code is 0
    And the engine till-1 has the order "wash-2"
