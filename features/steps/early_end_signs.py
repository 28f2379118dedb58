"""Steps for what may be taken for an early end of an answer."""

import socket

import trio
from behave import given, then, when

from features.steps.entry_answers import CHUNKS, STREAM_HEAD, add_world, call
from features.steps.entry_bytes import old_caller_head, open_world
from features.steps.entry_ends import SMALL_BUFFER_BYTES, VERSIONS_KNOWN_S
from features.world_thread import event_ids
from skylarklift.entry.requests.http_connection import RESET_ON_CLOSE
from standins.entry_world import HOST
from standins.replica import STATUS_PATH
from standins.request_heads import receive_head
from standins.scripted_replica import (
    EVENTS,
    SIGNED_HEAD,
    Ending,
    Reply,
    chunked,
    framed,
)

COMMENT = b": still here\n\n"
LAST_EVENT = b"id: 6\ndata: e-6\n\n"
BIG_EVENT_BYTES = 10_000
BIG_EVENTS = 1200
RESET_SEEN_S = 1.0
BESIDE_GAP_S = 0.1


def start_world(context, answer):
    """Start a router before two scripted replicas, and wait until versions are known."""
    add_world(context, 2, answer)
    for replica in context.scripted:
        replica.born = 1
    context.thread.run(trio.sleep, VERSIONS_KNOWN_S)


@given(
    "a router before replicas whose streams are whole, and whose resumed runs send a comment and "
    "then {then_what}"
)
def resumed_runs_comment(context, then_what):
    def answer(request):
        if not request.last_event:
            return Reply(STREAM_HEAD + b"\r\n" + EVENTS, Ending.CLOSE)
        if then_what == "bring nothing":
            return Reply(STREAM_HEAD + b"\r\n" + COMMENT)
        return Reply(STREAM_HEAD + b"\r\n" + COMMENT + LAST_EVENT, Ending.CLOSE)

    start_world(context, answer)


@given("a router before replicas whose streams are whole, and whose resumed runs wait")
def resumed_runs_wait(context):
    def answer(request):
        if request.last_event:
            return Reply(b"")
        if request.request_id == "whole":
            return Reply(STREAM_HEAD + b"\r\n" + EVENTS, Ending.CLOSE)
        return Reply(STREAM_HEAD + CHUNKS + chunked(EVENTS))

    start_world(context, answer)


@given(
    "a router before replicas whose streams are whole, and whose resumed runs bring the last "
    "event, after which {then_what}"
)
def resumed_runs_lose_their_end(context, then_what):
    def answer(request):
        if not request.last_event:
            return Reply(STREAM_HEAD + b"\r\n" + EVENTS, Ending.CLOSE)
        return Reply(STREAM_HEAD + b"\r\n" + LAST_EVENT, Ending.CRASH_RESTARTED)

    start_world(context, answer)
    if then_what == "another process answers":
        for replica in context.scripted:
            replica.restarted_born = replica.born + 1


@given("a router before replicas whose streams are whole, after which all their connections end")
def connections_end(context):
    # Without another start, the process is the same one.
    start_world(context, lambda _: Reply(STREAM_HEAD + b"\r\n" + EVENTS, Ending.CRASH_RESTARTED))


@given(
    "a router before replicas whose streams are whole, after which they are silent for "
    "{span:d} ms"
)
def silent_after_whole(context, span):
    start_world(context, lambda _: Reply(STREAM_HEAD + b"\r\n" + EVENTS, Ending.CLOSE))
    for replica in context.scripted:
        replica.silent_ms = span


@when('a stream of "{path}" is read')
def stream_is_read(context, path):
    context.response = context.thread.run(call, context, path, "whole")


@when('a stream of "{path}" is read beside framed ones that are answered at once')
def read_beside_others(context, path):
    async def send_others():
        number = 0
        while True:
            number += 1
            await call(context, path, f"beside-{number}")
            await trio.sleep(BESIDE_GAP_S)

    async def play():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_others)
            context.response = await call(context, path, "whole")
            nursery.cancel_scope.cancel()

    context.thread.run(play)


@then("the stream has {count:d} events and is complete")
def has_events_and_is_complete(context, count):
    response = context.response
    lines = [line for line in context.router.lines() if line.get("id") == "whole"]
    body = response.body.replace(COMMENT, b"")
    assert event_ids(body) == list(range(1, count + 1)), response
    assert response.status == 200 and response.complete, (response, lines)


@then("no early end is reported")
def no_early_end(context):
    found = [line for line in context.router.lines() if line["event"] == "early_end"]
    assert not found, found


class ImpatientReplica:
    """Send 12 MB with a length, or in chunks as events; reset what stays unread for a time."""

    def __init__(self, unread_s):
        self._unread_s = unread_s
        self.was_reset = False

    async def serve(self, stream):
        """Serve one connection."""
        async with stream:
            while head := await receive_head(stream):
                if STATUS_PATH in head:
                    await stream.send_all(framed(b"HTTP/1.1 200 OK\r\n", b'{"born":1}'))
                    continue
                fields = dict(
                    line.split(b": ", 1)
                    for line in head.lower().split(b"\r\n")[1:]
                    if b": " in line
                )
                request_id = fields[b"x-attempt-id"]
                if not await self._send(stream, request_id, is_stream=b"/once/" in head):
                    self.was_reset = True
                    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                    return

    async def _send(self, stream, request_id, *, is_stream):
        """Send an answer; return whether it was read in time."""
        total = BIG_EVENTS * BIG_EVENT_BYTES
        head = SIGNED_HEAD + b"content-length: %d\r\n\r\n" % total
        if is_stream:
            head = STREAM_HEAD + b"content-length: %d\r\n\r\n" % total
        await stream.send_all(head.replace(b"%s", request_id))
        for number in range(1, BIG_EVENTS + 1):
            event = (b"id: %d\ndata: " % number).ljust(BIG_EVENT_BYTES - 2, b".") + b"\n\n"
            with trio.move_on_after(self._unread_s) as scope:
                await stream.send_all(event)
            if scope.cancelled_caught:
                return False
        return True


@given("a router before a replica that sends 12 MB and resets what stays unread for {span:d} ms")
def impatient_replica(context, span):
    context.replica = ImpatientReplica(span / 1000)
    open_world(context, {"lm-1": context.replica, "till-1": context.replica})
    context.thread.run(trio.sleep, VERSIONS_KNOWN_S)


@when('a caller of "{path}" reads nothing for {span:d} ms after the first bytes')
def caller_reads_nothing(context, path, span):
    head = old_caller_head(path, deadline_ms=20_000).replace(b"HTTP/1.0", b"HTTP/1.1")

    async def read():
        sock = trio.socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        await sock.connect((HOST, context.router.caller_port))
        async with trio.SocketStream(sock) as stream:
            await stream.send_all(head)
            first = await stream.receive_some(1000)
            assert b" 200 " in first, first
            await trio.sleep(span / 1000)
            assert context.replica.was_reset
            with trio.move_on_after(RESET_SEEN_S * 5):
                try:
                    while await stream.receive_some(65536):
                        pass
                except trio.BrokenResourceError:
                    return
        await trio.sleep(RESET_SEEN_S)

    context.thread.run(read)
    context.thread.run(trio.sleep, RESET_SEEN_S)
