"""Steps for ends of answers that could look complete."""

import signal

import trio
from behave import given, then, when

from features.steps.entry_answers import CHUNKS, STREAM_HEAD, add_world
from features.steps.entry_bytes import old_caller_head, open_world
from features.world_thread import event_ids
from skylarklift.upstreams.events import EventSplitter
from standins.entry_world import HOST
from standins.replica import Replica
from standins.scripted_replica import Ending, Reply, chunked

READ_BYTES = 65536
LONGEST_READ_S = 14
SIGNALS = {"is killed": signal.SIGKILL, "reaches a drain's end": signal.SIGTERM}


@given("a router before a replica that sends {count:d} events, one each {span:d} ms")
def router_before_steady_replica(context, count, span):
    open_world(context, {"lm-1": Replica("lm-1", events=count, pace_ms=span)})


@when(
    'an HTTP/1.0 caller reads a stream of "{path}", and after {count:d} events the router {ending}'
)
def old_caller_reads(context, path, count, ending):
    async def read():
        received, signalled = b"", False
        stream = await trio.open_tcp_stream(HOST, context.router.caller_port)
        async with stream:
            await stream.send_all(old_caller_head(path, deadline_ms=20_000))
            while data := await stream.receive_some(READ_BYTES):
                received += data
                if not signalled and received.count(b"id: ") >= count:
                    signalled = True
                    context.router.process.send_signal(SIGNALS[ending])
        return received

    async def read_in_time():
        with trio.fail_after(LONGEST_READ_S):
            return await read()

    context.was_reset = False
    try:
        context.received = context.thread.run(read_in_time)
    except trio.BrokenResourceError:
        context.was_reset = True


@then("the HTTP/1.0 caller got {count:d} events and the end of the connection")
def old_caller_got(context, count):
    assert not context.was_reset
    body = context.received.partition(b"\r\n\r\n")[2]
    assert event_ids(body) == list(range(1, count + 1)), context.received


@given('a router before 2 replicas that break off a stream after "{names}"')
def replicas_break_off_after(context, names):
    raw = {"x": b"data: x\n\n", "c": b": c\n\n"}
    start = b"".join(
        raw.get(name, b"id: %s\ndata: e\n\n" % name.encode()) for name in names.split()
    )

    def reply(request):
        if len(context.scripted[0].received) + len(context.scripted[1].received) > 1:
            return Reply(STREAM_HEAD + CHUNKS + chunked(events_after(request.last_event)))
        return Reply(STREAM_HEAD + CHUNKS + chunked(start, whole=False), Ending.CLOSE)

    add_world(context, 2, reply)


def events_after(last_event):
    """Return the events of a stream of six behind the last one that a caller has."""
    numbers = range(int(last_event or 0) + 1, 7)
    return b"".join(b"id: %d\ndata: e\n\n" % number for number in numbers)


@then('the caller got events "{names}", and the answer {result}')
def caller_got_events(context, names, result):
    events = EventSplitter().feed(context.response.body)
    got = [str(event.event_id or ("c" if event.is_comment else "x")) for event in events]
    assert got == names.split(), context.response
    assert context.response.complete == (result == "is complete"), context.response
