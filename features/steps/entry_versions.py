"""Steps for streams that may go on only at the software version that began them."""

import socket

import trio
from behave import given, then, when

from features.steps.entry_answers import (
    CHUNKS,
    STREAM_HEAD,
    add_world,
    call,
)
from features.steps.entry_bytes import old_caller_head
from standins.entry_world import HOST
from standins.scripted_replica import EVENTS, TWO_EVENTS, Ending, Reply, chunked

LARGE_PARTS = [
    (b"id: %d\ndata: " % number).ljust(10_000, b".") + b"\n\n" for number in range(1, 400)
]
LONG_DEADLINE_MS = 60_000
# An entry that is removed counts for a while.
ENTRY_GONE_S = 4.0
REFUSED_STATUS = b"HTTP/1.1 503 Starting\r\ncontent-length: 0\r\n\r\n"
SPOILT_STATUS = b"no answer in the protocol\r\n\r\n"


async def register(world, name, version):
    """Write the entry of a replica, in the loop whose tasks wait for changes of the store."""
    world.register_replica(name, "lm", version=version)


@given('a router before replicas of the versions "{versions}" that break off each new stream')
def replicas_of_versions(context, versions):
    def reply(request):
        if request.last_event:
            return Reply(STREAM_HEAD + CHUNKS + chunked(EVENTS))
        return Reply(STREAM_HEAD + CHUNKS + chunked(TWO_EVENTS, whole=False), Ending.CLOSE)

    context.versions = versions.split()
    add_world(context, len(context.versions), reply)
    world = context.world
    for number, version in enumerate(context.versions, 1):
        named = None if version == "none" else version
        context.thread.run(register, world, f"lm-{number}", named)
    # All routers know the versions before streams begin.
    context.thread.run(trio.sleep, 1.5)


@given("the processes of the replicas are {processes}")
def processes_are(context, processes):
    born = {"those of their entries": 1, "of unknown starts": None, "newer ones": 2}
    if processes == "a newer one and an old one":
        context.scripted[0].born, context.scripted[1].born = 2, 1
        return
    spoilt = {
        "a newer one that refuses the question and an old one": REFUSED_STATUS,
        "a newer one that spoils the answer and an old one": SPOILT_STATUS,
    }
    if processes in spoilt:
        context.scripted[0].status, context.scripted[1].born = spoilt[processes], 1
        return
    for replica in context.scripted:
        replica.hides_status = processes == "silent"
        if processes in born or replica.hides_status:
            replica.born = born.get(processes)
            continue
        replica.born = 1
        replica.answer = restarting(replica, replica.answer)


@given("all processes but the last one are newer than their entries")
def all_newer_but_last(context):
    for replica in context.scripted:
        replica.born = 2
    context.scripted[-1].born = 1


@then("no stream began at a replaced process, and all go on at the second router")
def none_goes_on(context):
    began = {number: replica_of_start(context, f"s{number}") for number in range(12)}
    assert set(began.values()) <= {3, None}, began
    for number, replica in began.items():
        if replica is None:
            assert context.responses[number].status == 503, context.responses[number]
            continue
        headers = {"last-event-id": "2", "resumes": f"s{number}"}
        response = context.thread.run(
            call_stream, context, context.other, number, f"t{number}", headers
        )
        assert response.status == 200 and response.complete, response
        assert replica_of(context, f"t{number}") == 3


def replica_of_start(context, request):
    """Return the index of the replica that began a stream."""
    for index, replica in enumerate(context.scripted):
        if any(r.request_id == request and not r.last_event for r in replica.received):
            return index
    return None


@given(
    'a router before a replica that tells no start and restarts as "{version}" '
    "while a slow caller reads"
)
def restarts_beside_slow_caller(context, version):
    context.restarted = trio.Event()

    async def write_entry():
        await trio.sleep(0.9)
        context.world.register_replica("lm-1", "lm", version=version, born=2)

    def reply(request):
        if request.last_event:
            rest = EVENTS[len(TWO_EVENTS) :].replace(b"e-", version.encode() + b"-")
            return Reply(STREAM_HEAD + CHUNKS + chunked(rest))
        if request.request_id == "slow":
            large = b"".join(chunked(part, whole=False) for part in LARGE_PARTS)
            return Reply(STREAM_HEAD + CHUNKS + large)
        context.world.nursery.start_soon(write_entry)
        context.restarted.set()
        events = chunked(TWO_EVENTS.replace(b"e-", b"v1-"), whole=False)
        return Reply(STREAM_HEAD + CHUNKS + events, Ending.CRASH_RESTARTED)

    add_world(context, 1, reply)
    context.thread.run(register, context.world, "lm-1", "v1")
    context.thread.run(trio.sleep, 1.5)


@when("a stream breaks off by the restart, and the slow caller reads on {pause:d} ms later")
def breaks_off_beside_slow_caller(context, pause):
    async def read_slowly():
        sock = trio.socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await sock.connect((HOST, context.router.caller_port))
        async with trio.SocketStream(sock) as stream:
            head = old_caller_head("/chat/a", deadline_ms=20_000)
            await stream.send_all(
                b"\r\n".join(
                    b"x-attempt-id: slow" if line.lower().startswith(b"x-attempt-id") else line
                    for line in head.split(b"\r\n")
                )
            )
            await context.restarted.wait()
            await trio.sleep(pause / 1000)
            try:
                received = 0
                while data := await stream.receive_some(65536):
                    # Its older events last for some time.
                    received += len(data)
                    await trio.sleep(0.03)
            except trio.BrokenResourceError:
                # Its own stream broke off.
                return

    async def play():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_slowly)
            await trio.sleep(0.7)
            context.response = await call(context, "/chat/a", "id-1")
            nursery.cancel_scope.cancel()

    context.thread.run(play)


def restarting(replica, answer):
    """Return a function that answers, and lets the replica's process be a newer one."""

    def answer_and_restart(request):
        replica.born = 2
        return answer(request)

    return answer_and_restart


@then("the caller has a stream that is {result}")
def stream_is(context, result):
    if result == "refused":
        assert context.response.status == 503, context.response
        return
    assert context.response.complete == (result == "complete"), context.response
    if result == "broken off":
        assert context.response.body == TWO_EVENTS, context.response


@given(
    'a router before a replica of "v1" that crashes in a stream, and is "{version}" '
    "{delay:d} ms later"
)
def crashes_and_is_back(context, version, delay):
    async def write_entry(world):
        await trio.sleep(delay / 1000)
        world.register_replica("lm-1", "lm", version=version, born=2)

    def reply(request):
        if request.last_event:
            rest = EVENTS[len(TWO_EVENTS) :].replace(b"e-", version.encode() + b"-")
            return Reply(STREAM_HEAD + CHUNKS + chunked(rest))
        context.world.nursery.start_soon(write_entry, context.world)
        events = chunked(TWO_EVENTS.replace(b"e-", b"v1-"), whole=False)
        return Reply(STREAM_HEAD + CHUNKS + events, Ending.CRASH_RESTARTED)

    add_world(context, 1, reply)
    context.thread.run(register, context.world, "lm-1", "v1")
    context.thread.run(trio.sleep, 1.5)


@then('the caller gets {count:d} events of "{version}"')
def events_of_version(context, count, version):
    events = b"".join(b"id: %d\ndata: %s-%d\n\n" % (n, version.encode(), n) for n in range(1, 7))
    response = context.response
    assert response.complete == (count == 6), response
    assert b"".join(events.splitlines(True)[: 3 * count]) == response.body, response


@when("a request for a stream is sent to them")
@when("a request for a stream is sent to it")
def stream_sent(context):
    context.response = context.thread.run(call, context, "/chat/a", "id-1")


@when("{count:d} streams of different prompts are sent to them")
def streams_sent(context, count):
    context.responses = [
        context.thread.run(call_stream, context, context.router, number, f"s{number}", {})
        for number in range(count)
    ]


@then("they began at {count:d} replicas, and all are {result}")
def streams_began_at(context, count, result):
    began = [
        any(not request.last_event for request in replica.received) for replica in context.scripted
    ]
    assert sum(began) == count, began
    # The last one is of its entry if any is.
    assert began[-1] or not count, began
    for response in context.responses:
        assert response.status == (503 if result == "refused" else 200), response
        assert result == "refused" or response.complete, response


@when("the processes say it {late:d} ms late, and {count:d} more streams are sent to them")
def streams_sent_late(context, late, count):
    def reply_whole(request):
        return Reply(STREAM_HEAD + CHUNKS + chunked(EVENTS))

    async def drop_connections(replica):
        """Let no connection be left that is known to be to the process."""
        for stream in list(replica.connections):
            await stream.aclose()

    for replica in context.scripted:
        replica.status_late_ms, replica.answer = late, reply_whole
        context.thread.run(drop_connections, replica)
    first = len(context.responses)
    context.responses = [
        context.thread.run(call_stream, context, context.router, number, f"s{number}", {})
        for number in range(first, first + count)
    ]
    context.later = [f"s{number}" for number in range(first, first + count)]


@then("these are {result}")
def later_streams(context, result):
    for name, response in zip(context.later, context.responses, strict=True):
        ran = replica_of_start(context, name) is not None
        assert ran == (result == "complete"), (name, response)
        assert response.status == (200 if ran else 503), response
        assert response.complete or not ran, response


@then("each has begun, and is broken off")
def begun_and_broken_off(context):
    for number, response in enumerate(context.responses):
        assert replica_of_start(context, f"s{number}") is not None, response
        assert response.status == 200 and response.body == TWO_EVENTS, response
        assert not response.complete, response


@then("the stream is {result}, and goes on at no other version")
def stream_result(context, result):
    got = [bool(replica.received) for replica in context.scripted]
    reached = {version for version, used in zip(context.versions, got, strict=True) if used}
    assert len(reached) == 1, reached
    assert context.response.complete == (result == "complete"), context.response
    if result == "broken off":
        assert context.response.body == TWO_EVENTS, context.response


@given("another router beside it")
def another_router(context):
    context.other = context.thread.run(context.world.start_router, "n2")
    # Both know each other, and which versions there are.
    context.thread.run(trio.sleep, 1.5)


async def call_stream(context, router, number, request, headers):
    prefix = {"x-prefix-hash": f"aa:50,b{number}:40,cc:10", **headers}
    return await context.world.call(router, "/chat/a", request_id=request, headers=prefix)


def replica_of(context, request):
    """Return the index of the replica that ran a request last, `None` if none did."""
    ran = [
        index
        for index, replica in enumerate(context.scripted)
        if any(item.request_id == request for item in replica.received)
    ]
    assert len(ran) <= 1, (request, ran)
    return ran[0] if ran else None


@when("{count:d} streams of different prompts begin at the first router")
def streams_begin(context, count):
    context.began = {}
    for number in range(count):
        # So that it may have begun before the versions were known, when it is resumed.
        headers = {"x-deadline-ms": str(LONG_DEADLINE_MS)}
        response = context.thread.run(
            call_stream, context, context.router, number, f"s{number}", headers
        )
        assert response.complete, response
        context.began[number] = replica_of(context, f"s{number}")
    assert set(context.began.values()) == {0, 1}, context.began


@given("the store takes no writes of routers")
def store_takes_no_writes(context):
    for endpoint, _ in context.world.store_endpoints:
        endpoint.faults.refuse_writes = True


@when('the replica of "v1" leaves, {count:d} streams of different prompts begin, and it is back')
def begin_while_version_is_gone(context, count):
    context.thread.run(remove_entry, context.world, "lm-1")
    context.thread.run(trio.sleep, ENTRY_GONE_S)
    context.began = {}
    for number in range(count):
        context.thread.run(call_stream, context, context.router, number, f"s{number}", {})
        context.began[number] = replica_of(context, f"s{number}")
    context.thread.run(register, context.world, "lm-1", "v1")
    context.thread.run(trio.sleep, 1.5)


async def remove_entry(world, name):
    """Remove the entry of a replica, in the loop whose tasks wait for changes of the store."""
    world.store.write("servers", name, None)


@then("no stream goes on at another version than it began at")
def no_stream_at_another_version(context):
    went_on = {number: replica_of(context, f"t{number}") for number in context.began}
    joined = {
        number: (context.began[number], replica)
        for number, replica in went_on.items()
        if None not in (replica, context.began[number]) and replica != context.began[number]
    }
    assert not joined, (joined, context.began)
    # Prompts of the version that stayed have begun.
    assert any(replica is not None for replica in context.began.values()), context.began


@when("nothing else happens to them")
def nothing_happens(context):
    pass


@when("the first router is killed")
def first_killed(context):
    context.router.process.kill()
    context.router.process.wait()


@when("both are killed and start anew")
def both_start_anew(context):
    for router in (context.router, context.other):
        router.process.kill()
        router.process.wait()
    context.other = context.thread.run(context.world.start_router, "n3")


@when("the client resumes all of them at the second router")
def taken_up_at_second(context):
    context.responses = {}
    for number in context.began:
        headers = {"last-event-id": "2", "resumes": f"s{number}"}
        context.responses[number] = context.thread.run(
            call_stream, context, context.other, number, f"t{number}", headers
        )


@then("none goes on at another version, and {result}")
def resumptions_end(context, result):
    went_on = {number: replica_of(context, f"t{number}") for number in context.began}
    for number, replica in went_on.items():
        response = context.responses[number]
        assert replica in (None, context.began[number]), (number, replica, context.began[number])
        assert response.status == (503 if replica is None else 200), (number, response)
    expected = set(context.began)
    if result != "all go on":
        expected = {number for number, replica in context.began.items() if replica == 0}
    going = {number for number, replica in went_on.items() if replica is not None}
    assert going == expected, (going, context.began)
