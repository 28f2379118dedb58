"""Steps for ends of answers that could look complete."""

import signal
import socket
import time

import h11
import trio
from behave import given, then, when

from features.steps.entry_answers import CHUNKS, STREAM_HEAD, add_world, call
from features.steps.entry_bytes import old_caller_head, open_world
from features.world_thread import event_ids
from skylarklift.upstreams.events import EventSplitter
from standins.entry_world import HOST
from standins.replica import Replica
from standins.scripted_replica import (
    EVENTS,
    SIGNED_HEAD,
    TWO_EVENTS,
    Ending,
    Reply,
    chunked,
    framed,
)
from standins.stream_events import EVENT_END

READ_BYTES = 65536
LONGEST_READ_S = 14
LARGE_EVENT_BYTES = 10_000
SMALL_BUFFER_BYTES = 4096
VERSIONS_KNOWN_S = 1.5
MAX_TAKE_UPS = 2
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


@when('a request to "{path}" with the last event id {last:d} is sent')
def sent_with_last_event(context, path, last):
    headers = {"last-event-id": str(last)}

    async def send():
        # The versions of the service are known some time after the start.
        await trio.sleep(VERSIONS_KNOWN_S)
        return await context.world.call(context.router, path, headers=headers)

    context.response = context.thread.run(send)


@then('it gets the status {status:d} and the events "{names}"')
@then('it gets the status {status:d} and the events ""')
def gets_status_and_events(context, status, names=""):
    response = context.response
    assert response.status == status and response.complete, response
    got = [] if status != 200 else event_ids(response.body)
    assert got == [int(name) for name in names.split()], response


@given(
    "a router before 2 replicas that send {sent:d} of 12 large events without a length, "
    "and then {ending}"
)
def replicas_send_large_events(context, sent, ending):
    def reply(request):
        first = int(request.last_event or 0) + 1
        if first > 1:
            return Reply(STREAM_HEAD + CHUNKS + chunked(large_events(first, 12)))
        return Reply(STREAM_HEAD + b"\r\n" + large_events(1, sent), Ending(ending))

    add_world(context, 2, reply)


def large_events(first, last):
    """Return events that fill the buffers between a router and a caller that does not read."""
    names = (b"id: %d\ndata: " % number for number in range(first, last + 1))
    return b"".join(name.ljust(LARGE_EVENT_BYTES, b".") + b"\n\n" for name in names)


@given(
    "a router before 2 replicas that send {sent:d} of 12 events without a length, {ending}, "
    "and are silent for {span:d} ms"
)
def replicas_fall_silent_at_end(context, sent, ending, span):
    def reply(request):
        numbers = range(int(request.last_event or 0) + 1, sent + 1)
        events = b"".join(b"id: %d\ndata: e\n\n" % number for number in numbers)
        return Reply(STREAM_HEAD + b"\r\n" + events, Ending(ending))

    add_world(context, 2, reply)
    for replica in context.scripted:
        replica.silent_ms = span


@when('a request to "{path}" is sent to them, and its answer is awaited')
def sent_and_awaited(context, path):
    began_at = time.monotonic()
    context.response = context.thread.run(call, context, path, "id-1")
    context.span_ms = (time.monotonic() - began_at) * 1000


@then(
    "the answer to that request has {sent:d} events, {result}, and is over after at most "
    "{most:d} ms"
)
def answer_is_over(context, sent, result, most):
    response = context.response
    is_whole = response.status == 200 and response.complete
    assert is_whole == (result == "is complete"), response
    if response.status == 200:
        assert event_ids(response.body) == list(range(1, sent + 1)), response
    assert context.span_ms <= most, context.span_ms


@given("the replicas {tell} when they started")
def replicas_tell_start(context, tell):
    births = {"say": 1, "do not say": None, "say a start later than their entries'": 2}
    for replica in context.scripted:
        replica.born = births[tell]
        if tell == "say":
            replica.restarted_born = 2


@given('the router has read an answer of "{path}" with a length before')
def router_has_read_length(context, path):
    answers = [replica.answer for replica in context.scripted]
    for replica in context.scripted:
        replica.answer = lambda request: Reply(framed(SIGNED_HEAD, b"whole"))
    response = context.thread.run(call, context, path, "before")
    assert response.status == 200, response
    for replica, answer in zip(context.scripted, answers, strict=True):
        replica.answer = answer


@given("the router stands still for {span:d} ms as a replica answers")
def router_stands_still(context, span):
    async def let_go_on():
        await trio.sleep(span / 1000)
        context.router.process.send_signal(signal.SIGCONT)

    answer = context.scripted[0].answer

    def stop_and_answer(request):
        context.router.process.send_signal(signal.SIGSTOP)
        context.world.nursery.start_soon(let_go_on)
        return answer(request)

    for replica in context.scripted:
        replica.answer = stop_and_answer


@when('a caller reads a stream of "{path}", with a pause of {pause:d} ms after its first bytes')
def caller_pauses(context, path, pause):
    async def read():
        sock = trio.socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        await sock.connect((HOST, context.router.caller_port))
        with trio.fail_after(LONGEST_READ_S):
            async with trio.SocketStream(sock) as stream:
                return await read_with_pause(stream, path, pause)

    context.received, context.was_whole = context.thread.run(read)


async def read_with_pause(stream, path, pause_ms):
    """Return the body of an answer, and whether it was complete."""
    http, body, paused = h11.Connection(h11.CLIENT), b"", False
    head = old_caller_head(path, deadline_ms=20_000).replace(b"HTTP/1.0", b"HTTP/1.1")
    http.send(h11.Request(method="POST", target=path, headers=[("host", "app.example")]))
    http.send(h11.EndOfMessage())
    await stream.send_all(head)
    while True:
        try:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive_some(READ_BYTES))
                continue
        except (h11.RemoteProtocolError, trio.BrokenResourceError):
            return body, False
        if isinstance(event, h11.Data):
            body += event.data
            if not paused:
                paused = True
                await trio.sleep(pause_ms / 1000)
        elif isinstance(event, h11.EndOfMessage):
            return body, True
        elif isinstance(event, h11.ConnectionClosed):
            return body, False


@then("the paused caller got {count:d} events, and the answer {result}")
def paused_caller_got(context, count, result):
    got = event_ids(context.received)
    assert got == list(range(1, count + 1)), got
    assert context.was_whole == (result == "is complete"), got


@given(
    "a router before a replica that ends whole streams with their connection, "
    "and lets resumed ones wait"
)
def lets_resumed_streams_wait(context):
    def reply(request):
        if request.last_event:
            return Reply(b"")
        if request.request_id == "whole":
            return Reply(STREAM_HEAD + b"\r\n" + EVENTS, Ending.CLOSE)
        return Reply(STREAM_HEAD + CHUNKS + chunked(EVENTS))

    add_world(context, 1, reply)
    context.scripted[0].born = 1
    context.thread.run(trio.sleep, VERSIONS_KNOWN_S)


@when("a stream is sent to it, beside others that it serves")
def sent_beside_others(context):
    async def send_others():
        number = 0
        while True:
            number += 1
            await call(context, "/once/a", f"beside-{number}")
            await trio.sleep(0.1)

    async def play():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_others)
            began_at = trio.current_time()
            context.response = await context.world.call(
                context.router, "/chat/a", request_id="whole", deadline_ms=8000
            )
            context.span_ms = (trio.current_time() - began_at) * 1000
            nursery.cancel_scope.cancel()

    context.thread.run(play)


@then("the caller has all events, and their end after at most {most:d} ms")
def end_not_held_back(context, most):
    assert context.response.body == EVENTS, context.response
    assert context.response.complete and context.span_ms <= most, context.span_ms


@given("a router before 2 replicas whose whole streams {ending}")
def whole_streams_end(context, ending):
    def reply(request):
        events = EVENTS.split(EVENT_END)[int(request.last_event or 0) : -1]
        rest = b"".join(event + EVENT_END for event in events)
        if request.request_id.startswith("cut"):
            if request.last_event:
                return Reply(STREAM_HEAD + CHUNKS + chunked(EVENTS[len(TWO_EVENTS) :]))
            return Reply(STREAM_HEAD + CHUNKS + chunked(TWO_EVENTS, whole=False), Ending.CLOSE)
        if ending == "have chunks":
            return Reply(STREAM_HEAD + CHUNKS + chunked(rest))
        return Reply(STREAM_HEAD + b"\r\n" + rest, Ending.CLOSE)

    add_world(context, 2, reply)
    for replica in context.scripted:
        replica.born = 1
    context.thread.run(trio.sleep, VERSIONS_KNOWN_S)


async def take_up(context, path, request_id, last):
    headers = {"last-event-id": str(last), "resumes": request_id}
    return await context.world.call(
        context.router, path, request_id=f"{request_id}-again", headers=headers
    )


@when("{whole:d} whole streams and then {cut:d} that break off are sent to them")
def whole_then_cut(context, whole, cut):
    for number in range(whole):
        response = context.thread.run(call, context, "/chat/a", f"whole-{number}")
        assert response.body == EVENTS, response
        for _ in range(MAX_TAKE_UPS):
            if not response.complete or response.status != 200:
                response = context.thread.run(take_up, context, "/chat/a", f"whole-{number}", 6)
        assert response.complete and response.status == 200, response
    context.cut = [
        context.thread.run(call, context, "/chat/a", f"cut-{number}") for number in range(cut)
    ]


@then("all {count:d} are complete")
def cut_are_complete(context, count):
    complete = sum(response.complete for response in context.cut)
    assert complete == count, complete
