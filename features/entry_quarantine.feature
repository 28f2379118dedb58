Feature: Parts of prompts that crash upstreams

  A part that several prompts share may crash each upstream that begins to answer one of them.
  No two of these requests are alike, and sound ones share all their other parts, so the part
  itself must be recognized and held back at every router.

  # Guards against crashes of one upstream after the other by requests that only share a part.
  Scenario Outline: Requests with a part that crashes upstreams are refused, sound ones served
    Given a store, two replicas of each service, and a router
    And 8 replicas crash <point> of an answer to a prompt with the part "bad"
    When 8 requests with the parts "aa,bad" are sent, one each 60 ms, and as many with "aa"
    Then at most 5 replicas crashed
    And the last request with the parts "aa,bad" got 503 and reached no replica
    And the last 3 requests with the parts "aa" were answered with 200

    Examples:
      | point           |
      | before the head |
      | after the head  |
      | after an event  |

  # Guards against an upstream's crash that is not counted since its answer had begun.
  Scenario Outline: A repeated request that crashes upstreams is refused, however late they crash
    Given a store, two replicas of each service, and a router
    And 8 replicas crash <point> of an answer to "/chat/poison"
    When a request to "/chat/poison" is sent 6 times
    Then at most 4 replicas crashed
    And the last status is 503

    Examples:
      | point           |
      | before the head |
      | after the head  |
      | after an event  |

  # Guards against routers that do not know what crashes upstreams since they were not there.
  Scenario: A router that has just started, or is cut off from the store, holds back the same part
    Given a store, two replicas of each service, and a router
    And a second router with a store endpoint of its own
    And 8 replicas crash before the head of an answer to a prompt with the part "bad"
    When the second store endpoint has the fault "silent"
    And 4 requests with the parts "aa,bad" are sent, one each 60 ms, and as many with "aa"
    Then within 1000 ms the second router refuses the parts "aa,bad", and serves "aa"
    When the first router is killed and started again
    Then within 1000 ms the first router refuses the parts "aa,bad", and serves "aa"

  # Guards against sound parts that are held back since they were there at a crash.
  Scenario Outline: What the crashes of replicas convict: <case>
    Given a router that has seen no crash
    When it hears of "<history>"
    Then it has convicted "<convicted>"

    # An item is MS:REPLICA:REQUEST:PARTS for a request at a crash, with `!` at the end if it had been
    # answered for a while, MS:served:PART or REQUEST, MS:later, or MS:held:REQUEST for another router's
    # message that a request is held back.
    Examples:
      | case                                     | history                                                                                        | convicted |
      | a part in three crashes                  | 0:r1:1:aa+bad 300:r2:1:aa+bad 310:served:aa 600:r3:2:aa+bad                                    | bad       |
      | a part in two crashes                    | 0:r1:1:aa+bad 300:r2:2:aa+bad                                                                  |           |
      | a part beside a repeated request        | 0:r1:1:bad 1:r1:9:bb 300:r2:1:bad 301:r2:9:bb 600:r3:1:bad 601:r3:8:bb 900:r4:2:bad           | request+bad |
      | a part whose requests had been answered | 0:r1:1:bad 1:r1:9:bb! 300:r2:1:bad 301:r2:9:bb! 600:r3:1:bad 601:r3:8:bb 602:r3:9:bb! 900:r4:2:bad | request+bad |
      | a part behind one that others share too   | 0:r1:1:aa+bad! 1:r1:7:aa 300:r2:2:aa+bad 301:r2:8:aa 600:r3:3:aa+bad 601:r3:9:aa | bad |
      | the same, its answers had all begun       | 0:r1:1:aa+bad! 1:r1:7:aa 300:r2:2:aa+bad! 301:r2:8:aa 600:r3:3:aa+bad! 601:r3:9:aa | bad |
      | the same, behind two such parts           | 0:r1:1:aa+bb+bad! 1:r1:7:aa 300:r2:2:aa+bb+bad! 301:r2:8:aa+bb 600:r3:3:aa+bb+bad! 601:r3:9:aa | bad |
      | a part that crashes behind different ones | 0:r1:1:aa+x1 300:r2:2:aa+x2 600:r3:3:aa+x3 | aa |
      | a part behind which one repeats itself    | 0:r1:1:aa+x1! 1:r1:7:aa+x2 300:r2:1:aa+x1! 301:r2:8:aa+x3 600:r3:1:aa+x1! 601:r3:9:aa+x4 | aa |
      | a part whose last report comes late       | 0:r1:1:aa+bad 1:r1:7:aa 300:r2:2:aa+bad 301:r2:8:aa 600:r3:9:aa 1150:r3:3:aa+bad 2000:later | bad |
      | a part behind which one was there twice   | 0:r1:1:aa+bb 1:r1:7:aa 300:r2:2:aa+bb 301:r2:8:aa 600:r3:9:aa 1150:later 1400:later | aa |
      | a part that waits for reports no longer   | 0:r1:1:aa+bb 300:r2:2:aa+bb 600:r3:9:aa 1250:later 1400:r3:3:aa+bb 2000:later | aa |
      | a part that crashes after some events   | 0:r1:1:bb! 300:r2:2:bb! 600:r3:3:bb! 900:r4:4:bb! 1200:r5:5:bb! 1500:r6:6:bb!                 | bb        |
      | a repeated request                       | 0:r1:1:aa+bb 300:r2:1:aa+bb 600:r3:1:aa+bb                                                     | request   |
      | a part that is served in between         | 0:r1:1:bb 300:r2:2:bb 500:served:bb 600:r3:3:bb 900:r4:4:bb                                    |           |
      | a part that was served just before       | 0:served:aa 100:r1:1:aa 200:r2:2:aa 300:r3:3:aa                                                |           |
      | a part that was served a while ago       | 0:served:bb 2000:r1:1:bb 2300:r2:2:bb 2600:r3:3:bb                                             |           |
      | a part served once, in five crashes      | 0:served:bb 2000:r1:1:bb 2300:r2:2:bb 2600:r3:3:bb 2900:r4:4:bb 3200:r5:5:bb                   | bb        |
      | replicas that lose power together        | 0:r1:1:bb 5:r2:2:bb 10:r3:3:bb 15:r4:4:bb 20:r5:5:bb                                           |           |
      | one replica that crashes again           | 0:r1:1:bb 4000:r1:2:bb 8000:r1:3:bb 12000:r1:4:bb                                              |           |
      | a part that crashes its only replica     | 0:r1:1:bb 4000:r1:2:bb 8000:r1:3:bb 12000:r1:4:bb 16000:r1:5:bb                                | bb        |
      | two parts of the same prompts            | 0:r1:1:bb+bad 300:r2:2:bb+bad 600:r3:3:bb+bad                                                  | bad       |
      | a part beside requests with the real one | 0:r1:1:bad 1:r1:9:bb 300:r2:2:bad 301:r2:8:bb 600:r3:3:bad 601:r3:7:bb 900:r4:4:bad 901:r4:6:bb | bad       |
      | a deeper part, until others crash too    | 0:r1:1:bad+bb 300:r2:2:bad+bb 600:r3:3:bad+bb 900:r4:4:bad+cc 1200:r5:5:bad+dd 1500:r6:6:bad+ee 1800:r7:7:bad+ff 2100:r8:8:bad+gg | bad |
      | the last victim reported first           | 0:r1:1:bad+x1 300:r2:2:bad+x2 600:r3:9:aa+x9 601:r3:3:bad+x3 900:r1:4:aa+x4 1200:r2:5:aa+x5    | bad       |
      | a request that is held back before       | 0:r1:1:bad 200:held:1 300:r2:1:bad 600:r3:1:bad 900:r4:2:bad                                  | bad       |
      | crashes that lie long apart              | 0:r1:1:bb 31000:r2:2:bb 62000:r3:3:bb                                                          |           |
      | the same report once more                | 0:r1:1:bb 10:r1:1:bb 300:r2:2:bb 310:r2:2:bb                                                   |           |

  # Guards against a sound part that is held back in place of the one before it, which crashes upstreams,
  # though it was served with other prompts (review/8).
  Scenario Outline: A part that was served is not convicted in place of the one before it: <case>
    Given a router that has seen no crash
    When it hears of "<history>"
    Then it has convicted "<convicted>"

    Examples:
      | case                               | history                                                                                                    | convicted |
      | one that follows in each crash     | 0:served:doc 4500:r1:1:bad+doc 4600:r2:1:bad+doc 9000:r3:2:bad+doc                                         | bad       |
      | whose last report comes late       | 0:served:doc 2000:r1:1:bad+doc 2300:r2:2:bad+doc 2600:r3:9:bad 3150:r3:3:bad+doc 4000:later                | bad       |
      | two of them, one behind the other  | 0:served:doc 1:served:sub 2000:r1:1:bad+doc+sub 2300:r2:2:bad+doc+sub 2600:r3:3:bad+doc+sub                | bad       |
      | another one that was not served    | 0:served:doc 2000:r1:1:aa+doc+bad 2300:r2:2:aa+doc+bad 2600:r3:3:aa+doc+bad                                | bad       |
      | both were served                   | 0:served:aa 1:served:bad 2000:r1:1:aa+bad 2300:r2:2:aa+bad 2600:r3:3:aa+bad 2900:r4:4:aa+bad 3200:r5:5:aa+bad | bad    |

  # Guards against crashes that go on although they show that another part was convicted than the one at
  # fault, as those before the conviction no longer count (review/8).
  Scenario Outline: A crash without the convicted part shows which one is at fault: <case>
    Given a router that has seen no crash
    When it hears of "<history>"
    Then it has convicted "<convicted>"

    Examples:
      | case                                   | history                                                                                                        | convicted |
      | the part before it                     | 0:r1:1:bad+doc 300:r2:2:bad+doc 600:r3:3:bad+doc 2000:r4:4:bad+sub                                             | bad       |
      | the part before it, served long before | 0:served:bad 2000:r1:1:bad+doc 2300:r2:2:bad+doc 2600:r3:3:bad+doc 4000:r4:4:bad+sub 6000:r5:5:bad+sub | bad |
      | a part behind it, served long before   | 0:served:bad 2000:r1:1:aa+bad 2300:r2:2:aa+bad 2600:r3:3:aa+bad 4000:r4:4:bb+bad 6000:r5:5:cc+bad               | bad       |
      | a part behind it, in too few crashes   | 0:served:bad 2000:r1:1:aa+bad 2300:r2:2:aa+bad 2600:r3:3:aa+bad 4000:r4:4:bb+bad                                | aa        |
      | a part before it that was served since | 0:r1:1:aa+bad 300:r2:2:aa+bad 600:r3:3:aa+bad 900:served:aa 4000:r4:4:aa+cc                                     | bad       |
      | a part that was not in all its crashes | 0:r1:1:bad+doc 300:r2:2:aa+bad 600:r3:3:bad+doc 2000:r4:4:aa+sub                                                | bad       |
      | two of them beside a served part       | 0:r1:1:aa+b1 300:r2:2:aa+b2 310:served:aa 600:r3:3:aa+b1 900:r4:4:aa+b2 910:served:aa 2000:r5:5:aa+b1 2300:r6:6:aa+b2 | b1+b2 |
      | a part beside a sound repeated request | 0:r1:1:aa 1:r1:7:bad 46:r2:1:aa 47:r2:8:bad 600:r3:1:aa 601:r3:9:bad 2000:r4:5:bad                             | bad       |
      | the same, the request is served        | 0:r1:1:aa 1:r1:7:bad 46:r2:1:aa 47:r2:8:bad 600:r3:1:aa 601:r3:9:bad 1000:served:1 2000:r4:5:bad               | bad       |
      | one held back that is then served      | 0:r1:1:bad+doc 300:r2:2:bad+doc 600:r3:3:bad+doc 2000:served:doc 4000:r4:4:bad+sub                             | bad       |

  # Guards against sound questions about a document that are refused, as a part crashes upstreams before
  # it in other prompts, and against crashes that go on with each further document (review/8).
  Scenario: A part that crashes upstreams is held back, and questions about each document are served
    Given a store, two replicas of each service, and a router
    And 8 replicas crash before the head of an answer to a prompt with the part "bad"
    When each of 3 documents is asked about behind "aa", twice behind "bad", and behind "aa" again
    Then at most 5 replicas crashed
    And all questions behind "aa" were answered with 200

  # Guards against a request that is never held back as it crashes one replica, which starts again under
  # its id, each time (review/9), and against a sound one that is held back as its client repeats it while
  # a replica crashes by itself.
  Scenario Outline: Each start of a replica counts for a request that crashes it: <case>
    Given a router that has seen no crash
    When it hears of "<history>"
    Then it has convicted "<convicted>"

    # An item is MS:REPLICA@START:REQUEST:PARTS; without a start none is known.
    Examples:
      | case                                          | history                                                                                                     | convicted |
      | each start of one replica                     | 0:r1@1:1:aa 4000:r1@2:1:aa 8000:r1@3:1:aa                                                                   | request   |
      | two replicas, one of them twice               | 0:r1@1:1:aa 4000:r2@1:1:aa 8000:r1@2:1:aa                                                                   | request   |
      | one of them was answered for a while          | 0:r1@1:1:aa 4000:r1@2:1:aa! 8000:r1@3:1:aa                                                                  |           |
      | starts that follow soon on a crash            | 0:r1@1:1:aa 600:r1@2:1:aa 1200:r1@3:1:aa                                                                    | request   |
      | reports of one process                        | 0:r1@1:1:aa 4000:r1@1:1:aa 8000:r1@1:1:aa                                                                   |           |
      | reports that say no start                     | 0:r1:1:aa 4000:r1:1:aa 8000:r1:1:aa                                                                         |           |
      | a crash that only some reports say a start of | 0:r1@1:1:aa 4000:r1:2:bb 4010:r1@2:1:aa 8000:r1:1:aa 8010:r1@3:2:bb                                         | request   |
      | a replica that crashes without it as well     | 0:r1@1:1:aa 4000:r1@2:2:bb 8000:r1@3:1:aa 12000:r1@4:1:aa                                                   |           |
      | such a replica, and two others                | 0:r1@1:1:aa 4000:r1@2:2:bb 8000:r1@3:1:aa 12000:r2@1:1:aa 16000:r3@1:1:aa                                   | request   |
      | two requests at each start of one replica     | 0:r1@1:1:aa 1:r1@1:2:bb 4000:r1@2:1:aa 4001:r1@2:2:bb 8000:r1@3:1:aa 8001:r1@3:2:bb                         |           |
      | two requests, of which one crashes others     | 0:r1@1:1:aa 1:r1@1:2:bb 4000:r1@2:1:aa 4001:r1@2:2:bb 8000:r2@1:1:aa                                        |           |
      | two requests, of which one crashes two others | 0:r1@1:1:aa 1:r1@1:2:bb 4000:r1@2:1:aa 4001:r1@2:2:bb 8000:r2@1:1:aa 9000:r3@1:1:aa                         | request   |
      | crashes that lie long apart                   | 0:r1@1:1:aa 31000:r1@2:1:aa 62000:r1@3:1:aa                                                                 |           |

  # Guards against groups of requests that crash several replicas within milliseconds, time and again, as
  # these crashes count as one (the second review's report).
  Scenario Outline: A part at replicas that crash together is tried by one request at a time: <case>
    Given a router that has seen no crash
    When it hears of "<history>"
    Then it lets single requests through with "<tried>", and has convicted "<convicted>"

    Examples:
      | case                                 | history                                                                          | tried | convicted |
      | three replicas                       | 0:r1:1:bad 5:r2:2:bad 10:r3:3:bad                                                | bad   |           |
      | two replicas                         | 0:r1:1:bad 5:r2:2:bad                                                            |       |           |
      | behind others that were served       | 0:served:aa 2000:r1:1:aa+bad 2005:r2:2:aa+bad 2010:r3:3:aa+bad                   | bad   |           |
      | a part that was served               | 0:served:bb 2000:r1:1:bb 2005:r2:2:bb 2010:r3:3:bb                               |       |           |
      | a replica that did not run it        | 0:r1:1:bb 5:r2:2:bb 10:r3:3:bb 15:r4:4:cc                                        |       |           |
      | a part that is served afterwards     | 0:r1:1:bb 5:r2:2:bb 10:r3:3:bb 500:served:bb                                     |       |           |
      | the single request crashes a replica | 0:r1:1:bad 5:r2:2:bad 10:r3:3:bad 4000:r4:4:bad                                  |       | bad       |
      | replicas that crash one by one       | 0:r1:1:bad 300:r2:2:bad 600:r3:3:bad                                             |       | bad       |

  # Guards against a part that is never judged as nothing more is reported.
  Scenario: A router judges a part that waited for reports, though none comes
    Given a router that hears of "0:r1:1:aa+bb 300:r2:2:aa+bb 600:r3:9:aa" as it runs
    Then it holds back "aa" between 600 and 800 ms after the last crash

  # Guards against a last crash by the router's own retry, before the third one has been judged.
  Scenario: A request that crashes a third upstream is not sent to a fourth
    Given a store, two replicas of each service, and a router
    And 8 replicas crash before the head of an answer to a prompt with the part "bad"
    When 4 requests with the parts "aa,bad" are sent, one after the other
    Then at most 3 replicas crashed

  # Guards against crashes by requests that were sent before their part was held back.
  Scenario Outline: A request that has been sent is withdrawn when a part of it is held back
    Given a request with the parts "aa,bad,own" that was sent, and answered since <age> ms
    When the part "<part>" is held back
    Then its connection is closed: <closed>

    Examples:
      | age | part | closed |
      | no  | bad  | yes    |
      | 100 | bad  | yes    |
      | 600 | bad  | no     |
      | no  | cc   | no     |
      | no  | own  | no     |

  # Guards against 'not run' for a request whose replica had sent the head of an answer.
  Scenario Outline: A request that is withdrawn is not answered as one that has not run
    Given a request with the parts "aa,bad,own" that was sent, and answered since no ms
    And the head of its answer has come: <head>
    When the part "bad" is held back
    Then its connection is closed: yes
    And it counts as one that may have run

    Examples:
      | head |
      | no   |
      | yes  |

  # Guards against a crash that is missed since its upstream was reachable just before.
  Scenario Outline: A probe tells of a crash only if it was made after the answer broke off
    Given a router whose last probe of a replica was <ms> ms ago and found it <found>
    When an answer of the replica breaks off and its port is closed
    Then the crash is reported: yes

    Examples:
      | ms  | found       |
      | 50  | reachable   |
      | 50  | unreachable |
      | 400 | reachable   |

  # Guards against a request that counts as answered for a while, or is not suspected at all, since
  # the router took that long to find out that its upstream had crashed.
  Scenario Outline: The age of an answer ends when it breaks off
    Given a router that needs <ms> ms to find that a replica is unreachable
    When an answer of the replica breaks off <age> ms after its first event
    Then its request is reported as <reported>

    Examples:
      | age | ms  | reported              |
      | 60  | 0   | about to be answered  |
      | 60  | 200 | about to be answered  |
      | 60  | 460 | about to be answered  |
      | 100 | 0   | answered for a while  |
      | 100 | 460 | answered for a while  |
      | 500 | 0   | none                  |

  # Guards against a hold that never ends, ends for all requests at once, or comes back by itself.
  Scenario Outline: A hold is followed by a trial, and by a longer hold or a release: <case>
    Given a router of rank <rank> that holds back a part since 0 ms
    When "<events>" happen
    Then requests with the part are let through at "<let>" of "<asked>" ms

    # Events: MS:crash, MS:served or MS:released-elsewhere; the part's requests arrive at the times asked.
    Examples:
      | case                            | rank | events                   | asked                   | let         |
      | one trial after 30 s            | 0    |                          | 29999,30000,30001,45000 | 30000       |
      | other routers follow later      | 1    |                          | 30000,31999,32000       | 32000       |
      | the last of 390 routers         | 389  |                          | 30000,47000,48000       | 48000       |
      | a trial that is served          | 0    | 30600:served             | 30000,30500,30700       | 30000,30700 |
      | a trial that crashes a replica  | 0    | 30100:crash              | 30000,31000,89000,90200 | 30000,90200 |
      | a release that others report    | 0    | 9000:released-elsewhere  | 8000,9001               | 9001        |
      | a part that nobody asks for     | 5    |                          | 90001                   | 90001       |

  # Guards against a hold that gets longer with each router that comes to the same judgement.
  Scenario: A router that comes to the same judgement as another one does not lengthen the hold
    Given a router that has seen no crash
    When the crashes "0:r1:1:bad 300:r2:2:bad 600:r3:3:bad" are known, and another router holds "bad" first
    Then there is one hold on the part, of 30000 ms and in its first term

  # Guards against messages that grow with the fleet, and against a release that is undone.
  Scenario: Messages between routers are bounded, and an earlier decision does not undo a later one
    Given a router that has seen no crash
    When it hears of 5000 crashes with 32 parts each, and holds back 200 parts
    Then its message to a new router has at most 32768 bytes
    And it remembers at most 2000 suspects and 64 holds
    When a part is held back, released, and reported as held back once more
    Then the part is not held back

  # Guards against evidence that is lost with the router that saw it.
  Scenario Outline: What a router has heard of crashes is passed on: <case>
    Given a router that heard of two crashes from a router that has ended since
    When <span> ms pass and it sends to a router that <receiver>
    Then that one convicts the part at its own first crash of it: <convicts>

    Examples:
      | case                                | span  | receiver                            | convicts |
      | to a router that has just started   | 20000 | has just started                    | yes      |
      | in a large fleet, for a short time  | 500   | it last sent to, in a large fleet   | yes      |
      | in a large fleet, no longer         | 700   | it last sent to, in a large fleet   | no       |
      | in a small one each hears it itself | 500   | it last sent to, in a small fleet   | no       |

  # Guards against a datagram that ends the task that receives messages.
  Scenario Outline: A message about crashes that cannot be read is an error of its sender: <message>
    When another router sends the message "<message>" about crashes
    Then it is invalid, and a message of a later version is read

    Examples:
      | message                              |
      | [101]                                |
      | [101,"n",[[1,"r",0]],[],[]]          |
      | [101,"n",[["x","r",0,["p"],false]],[],[]]  |
      | [101,"n",[],[["odd","p",0]],[]]      |
      | [101,"n",[],[],[["part","p","odd",1,0,0,3]]] |
      | [101,"n",7,[],[]]                    |

  # Guards against an operator who cannot tell what is held back, why and since when.
  Scenario: Log, metrics and the explain command name the part that is held back
    Given a store, two replicas of each service, and a router
    And 8 replicas crash after the head of an answer to a prompt with the part "bad"
    When 6 requests with the parts "aa,bad" are sent, one each 60 ms, and as many with "aa"
    Then the line of the last request with the parts "aa,bad" names the part "bad" and 3 crashes
    And the metrics name the part "bad" and the time since when it is held back
    And explaining the last request with the parts "aa,bad" shows when the part was held back
