Feature: Orders to engines come from one order-giver at a time

  Scenario Outline: The lease <event>
    Given two order-givers on one store
    When the lease <event>
    Then <result>

    Examples:
      | event                                             | result                                |
      | is free and the first gives an order              | the engine got 1 order, fences 1      |
      | is held and the second gives an order             | the second is told who gives orders   |
      | was not renewed for 20 seconds and the second orders | the engine got 2 orders, fences 1,2 |
      | ends while the first is frozen before its order   | the first gives no order              |
      | is taken with a lost answer                       | the engine got 1 order, fences 1      |
      | is held by a first that wakes after the second    | the engine got 2 orders, fences 1,2   |

  Scenario: Loads keep the gap that the weight store demands
    Given two order-givers on one store
    When the first orders 3 loads
    Then they are at least 2000 ms apart and the first waited a gap

  Scenario Outline: An engine that <checks> gets an order with an old number
    Given the small deployment
    When an engine that <checks> gets order number 5 and then number 4
    Then the answer is <status> and it kept <count> orders

    Examples:
      | checks  | status | count |
      | obeys   | 409    | 1     |
      | ignores | 200    | 2     |

  Scenario: An operator's order reaches the engine
    Given the small deployment
    When the tool runs "order load-adapter --pool till till-1 wash-2" with the token
    Then its exit code is 0
    And the engine till-1 has the order "wash-2"
