Feature: Signals at any moment of a router's process

  SIGHUP reloads the settings or changes nothing; the first SIGTERM or SIGINT stops the router, and
  no further signal changes how it ends.  This holds from the first statement of the program to the
  end of the process.

  # Guards against signals that end a process with their default action while it imports its code.
  Scenario Outline: A router of the <daemon> that gets <signals> while it loads <library> ends in order
    Given a router of the <daemon> that is loading "<library>"
    When it gets the signals "<signals>"
    Then it ends with exit code 0 within 900 ms
    And its log says that it ended because of "<cause> before serving" with code 0

    Examples:
      | daemon         | library | signals                | cause   |
      | platform       | msgpack | SIGTERM                | SIGTERM |
      | platform       | msgpack | SIGINT                 | SIGINT  |
      | platform       | msgpack | SIGTERM SIGTERM SIGHUP | SIGTERM |
      | platform       | msgpack | SIGHUP SIGHUP SIGINT   | SIGINT  |
      | platform       | xxhash  | SIGTERM SIGHUP         | SIGTERM |
      | own deployment | msgspec | SIGTERM                | SIGTERM |
      | own deployment | msgspec | SIGINT SIGINT          | SIGINT  |
      | own deployment | xxhash  | SIGTERM SIGTERM SIGHUP | SIGTERM |
      | own deployment | xxhash  | SIGHUP SIGTERM         | SIGTERM |

  # Guards against a reload that ends a process while it imports its code or waits for the store.
  Scenario Outline: A router of the <daemon> that gets <signals> while it starts goes on to serve
    Given a router of the <daemon> that is loading "<library>"
    When it gets the signals "<signals>"
    Then it answers requests for its health
    When it gets the signals "<signals>"
    Then it answers requests for its health
    When it gets the signals "SIGTERM"
    Then it ends with exit code 0 within 9000 ms

    Examples:
      | daemon         | library | signals                     |
      | platform       | msgpack | SIGHUP                      |
      | platform       | xxhash  | SIGHUP SIGHUP SIGHUP SIGHUP |
      | own deployment | msgspec | SIGHUP                      |
      | own deployment | xxhash  | SIGHUP SIGHUP SIGHUP SIGHUP |

  # Guards against a router that begins to serve while it logs that it ended before that.
  Scenario: A process that a stop signal ends before it serves does not begin to serve
    Given a process that gets SIGTERM while its log takes no line for 300 ms
    When it begins to deliver its signals 100 ms after the first
    Then it ends with exit code 0 within 2000 ms
    And it did nothing after that

  Scenario: A stop signal while the settings are read ends a router at once
    Given a router of the platform whose settings do not come
    When it gets the signals "SIGHUP SIGTERM"
    Then it ends with exit code 0 within 900 ms

  # Guards against signals after the first stop signal that change the exit code.
  Scenario: Routers of the platform that get further signals in the drain finish it
    Given a store and replicas that send an event each 500 ms
    When routers with a stream each get these signals, the second series in the drain
      | first         | in the drain                  |
      | SIGTERM       | SIGHUP                        |
      | SIGTERM       | SIGTERM                       |
      | SIGINT        | SIGINT                        |
      | SIGTERM       | SIGINT SIGHUP SIGTERM SIGHUP  |
      | SIGHUP SIGINT | SIGHUP SIGHUP SIGINT SIGINT   |
    Then each stream is complete, and each router ends with exit code 0
    And the log of each names the first stop signal as the cause

  Scenario: Routers of the own deployment that get further signals in the drain finish it
    Given an own deployment whose engines send a token each 40 ms
    When its routers get these signals in turn with a chat under way
      | first         | in the drain                 |
      | SIGTERM       | SIGHUP SIGTERM               |
      | SIGINT        | SIGINT SIGINT                |
      | SIGHUP SIGINT | SIGTERM SIGHUP SIGINT SIGHUP |
    Then each chat is complete, and each router ends with exit code 0
    And the log of each names the first stop signal as the cause

  # Guards against signals between the end of the drain and the end of the process.
  Scenario Outline: A router of the <daemon> that gets signals without a pause until it is gone
    Given a router of the <daemon> that is loading "xxhash"
    Then it answers requests for its health
    When it gets the signals "SIGTERM"
    And it gets all signals over and over until it has ended
    Then it ends with exit code 0 within 100 ms

    Examples:
      | daemon         |
      | platform       |
      | own deployment |

  Scenario: Settings that changed while a router started or drains are reloaded at SIGHUP
    Given a router of the platform that is loading "xxhash"
    Then it answers requests for its health
    When its settings change and it gets the signals "SIGHUP"
    Then its log has 1 lines on reloaded settings within 1000 ms
    When it gets the signals "SIGTERM"
    And its settings change and it gets the signals "SIGHUP"
    Then its log has 2 lines on reloaded settings within 1000 ms
    And it ends with exit code 0 within 9000 ms

  # Guards against an interpreter that runs with the default action for longer than it must.
  Scenario Outline: Routers run by "<program>" that get SIGTERM as soon as they receive it end in order
    When 12 routers run by "<program>" get SIGTERM as soon as they receive it
    Then each of them ended with exit code 0

    Examples:
      | program                                             |
      | -m skylarklift.platform.daemon                      |
      | -m standins.path_router                             |
      | standins/stepped_router.py standins.path_router     |

  # Guards against a moment at the end of a process at which a signal has its default action again.
  Scenario: Routers that get SIGTERM over and over from the first stop signal to their end
    Given 8 routers of the platform that serve
    When they get SIGTERM each 3 ms until they have ended
    Then each of them ended with exit code 0

  # Guards against a soak that holds a router to signals which it blocks only while it starts a
  # process or a thread.
  Scenario Outline: A process that blocks <blocked> for <span> ms receives SIGTERM: <receives>
    Given a process that blocks <blocked> for <span> ms
    Then it is reported as one that receives SIGTERM: <receives>

    Examples:
      | blocked     | span | receives |
      | all signals | 400  | no       |
      | SIGTERM     | 4000 | yes      |
      | no signal   | 4000 | no       |
