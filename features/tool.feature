Feature: The command-line tool, settings files and sample deployments

  Scenario Outline: Errors in a file are reported with their line and key
    Given a <kind> file with <error>
    When the tool runs "validate --kind <kind> FILE"
    Then its exit code is 1
    And it says "<text>"

    Examples:
      | kind     | error                  | text                                                       |
      | routing  | an unknown key         | :3: zones.a.stat: unknown name 'stat'; did you mean 'state'? |
      | routing  | an unknown zone        | replicas.r1.zone: availability zone: unknown name 'b'      |
      | routing  | a wrong type           | :2: zones.a.state: 3 is not                                |
      | routing  | broken JSON            | :2:                                                        |
      | settings | a missing key          | 'zone' is a required property                              |
      | settings | an unset variable      | environment variable NOT_SET_ANYWHERE is not set           |
      | settings | a short fleet key      | peers.keys.0: shorter than 16 characters                   |
      | settings | a long renew interval  | renew_interval_ms must be at most half of lease_ms         |

  Scenario Outline: The sample settings of <deployment> are valid and a router starts with them
    When the tool runs "validate samples/<deployment>/routing.json"
    Then its exit code is 0
    And a router starts with the sample settings of <deployment> and ends with exit code 0

    Examples:
      | deployment |
      | wasgoed    |
      | globos     |

  Scenario Outline: The command "<arguments>" with <token> ends with exit code <code>
    Given the small deployment
    When the tool runs "<arguments>" with <token>
    Then its exit code is <code>

    Examples:
      | arguments                                   | token       | code |
      | show                                        | the token   | 0    |
      | show --json                                 | the token   | 0    |
      | status                                      | the token   | 0    |
      | history                                     | the token   | 0    |
      | claim wash-a nothing                        | the token   | 0    |
      | diff samples/globos/routing.json            | the token   | 1    |
      | show                                        | no token    | 5    |
      | zone out nowhere                            | the token   | 1    |
      | drain --pool till nobody                    | the token   | 1    |
      | zone out zone-1 --base 0                    | the token   | 3    |
      | show --url http://127.0.0.1:9               | the token   | 4    |
      | patch --dry-run samples/wasgoed/router.json | the token   | 1    |
      | drain --pool till till-1 --wait             | the token   | 0    |
      | drain --pool till till-1 --undo --wait      | the token   | 0    |

  Scenario: The example in the library guide runs
    When the example in the library guide is run
    Then it prints the output that the guide shows
