"""Steps for ends of streams that are not confirmed in time."""

import math
import signal

import trio
from behave import given, then, when

from features.steps.entry_answers import STREAM_HEAD, call
from features.steps.entry_ends import VERSIONS_KNOWN_S
from features.world_thread import WorldThread, event_ids
from standins.replica import STATUS_PATH
from standins.request_heads import receive_head
from standins.scripted_replica import EVENTS, NO_STATUS, TWO_EVENTS, framed
from standins.stream_events import EVENT_END

LAST_EVENT = b"id: 6\ndata: e-6\n\n"
EVENT_COUNT = 6
SENT_S = 0.2
LONG_DEADLINE_MS = 12_000


def parse_fields(head):
    """Return the fields of a request's head, in lower case."""
    lines = head.lower().split(b"\r\n")
    return dict(line.split(b": ", 1) for line in lines if b": " in line)


def make_start(fields):
    """Return the head of a stream without a length, for a request with these fields."""
    return (STREAM_HEAD + b"\r\n").replace(b"%s", fields[b"x-attempt-id"])


class LateEndReplica:
    """End whole streams some time after their start, and answer resumed ones, if `resumes`.

    It does not say when it started if not `says_start`, and closes connections that are idle for
    `idle_s`.
    """

    def __init__(self, span_s, *, resumes, says_start=True, idle_s=math.inf):
        self._span_s = span_s
        self._resumes = resumes
        self._status = framed(b"HTTP/1.1 200 OK\r\n", b'{"born":1}') if says_start else NO_STATUS
        self._idle_s = idle_s

    async def serve(self, stream):
        """Serve one connection."""
        async with stream:
            try:
                while head := await self._receive_head(stream):
                    if STATUS_PATH in head:
                        await stream.send_all(self._status)
                        continue
                    return await self._answer(stream, head)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                # The router closed the connection.
                return

    async def _receive_head(self, stream):
        """Return the head of a request, nothing once the connection has been idle for too long."""
        with trio.move_on_after(self._idle_s):
            return await receive_head(stream)
        return b""

    async def _answer(self, stream, head):
        """Answer a request for a stream."""
        fields = parse_fields(head)
        start = make_start(fields)
        if b"last-event-id" not in fields:
            await stream.send_all(start)
            await self._send_events(stream)
        elif self._resumes:
            await stream.send_all(start + LAST_EVENT)
        else:
            await trio.sleep_forever()

    async def _send_events(self, stream):
        """Send all events, in equal pauses over the span."""
        events = self._events()
        for event in events:
            await trio.sleep(self._span_s / len(events))
            await stream.send_all(event + EVENT_END)

    def _events(self):
        """Return the events of a whole stream."""
        return EVENTS.split(EVENT_END)[:-1]


class SilentEndReplica(LateEndReplica):
    """End streams after some events and a time, and be silent for `silent_s`, as if suspended.

    Its other connections end with a stream if its process `is_killed`.
    """

    def __init__(self, span_s, silent_s, *, sent=EVENT_COUNT, is_killed=False):
        super().__init__(span_s, resumes=True)
        self._silent_s = silent_s
        self._sent = sent
        self._is_killed = is_killed
        self._silent_until = 0.0
        self._ended = trio.Event()

    async def serve(self, stream):
        """Serve one connection, until the process is killed."""
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                if self._is_killed and not self._ended.is_set():
                    nursery.start_soon(self._cancel_when_killed, scope)
                await super().serve(stream)
                nursery.cancel_scope.cancel()

    async def _cancel_when_killed(self, scope):
        """Cancel once a stream has ended."""
        await self._ended.wait()
        scope.cancel()

    async def _receive_head(self, stream):
        """Return the head of a request, once the process is silent no more."""
        head = await super()._receive_head(stream)
        await trio.sleep_until(self._silent_until)
        return head

    async def _answer(self, stream, head):
        """Answer a request, and fall silent."""
        await super()._answer(stream, head)
        self._silent_until = trio.current_time() + self._silent_s
        self._ended.set()

    def _events(self):
        """Return the events that are sent."""
        return super()._events()[: self._sent]


class DeadlineReplica(LateEndReplica):
    """End whole streams after a time, and resumed ones, without an event, at their deadline.

    It sends the head of those if `sends_head`.
    """

    def __init__(self, span_s, deadline_s, *, sends_head):
        super().__init__(span_s, resumes=True)
        self._deadline_s = deadline_s
        self._sends_head = sends_head

    async def _answer(self, stream, head):
        """Answer a request for a stream; a resumed one is asked for as a whole one ends."""
        if b"last-event-id" not in head.lower():
            return await super()._answer(stream, head)
        if self._sends_head:
            await stream.send_all(make_start(parse_fields(head)))
        await trio.sleep(self._deadline_s - self._span_s)


class EarlyEndReplica:
    """End streams after two events, and be silent; answer resumed ones at once or later."""

    def __init__(self, silent_s, resume_s):
        self._silent_s, self._resume_s = silent_s, resume_s
        self._silent_until = 0.0

    async def serve(self, stream):
        """Serve one connection."""
        async with stream:
            try:
                while head := await receive_head(stream):
                    await trio.sleep_until(self._silent_until)
                    if STATUS_PATH in head:
                        await stream.send_all(framed(b"HTTP/1.1 200 OK\r\n", b'{"born":1}'))
                        continue
                    return await self._answer(stream, head)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                # The router closed the connection.
                return

    async def _answer(self, stream, head):
        """Answer a request for a stream."""
        fields = parse_fields(head)
        start = make_start(fields)
        if b"last-event-id" not in fields:
            await stream.send_all(start + TWO_EVENTS)
            await trio.sleep(SENT_S)
            self._silent_until = trio.current_time() + self._silent_s
            return
        await trio.sleep(self._resume_s)
        events = EVENTS.split(EVENT_END)[int(fields[b"last-event-id"]) : -1]
        await stream.send_all(start + b"".join(event + EVENT_END for event in events))


def start_world(context, replicas, settings):
    """Start a router before replicas, given by name, and wait until versions are known."""
    context.thread = WorldThread()
    context.cleanups = [*getattr(context, "cleanups", []), context.thread.close]
    context.world = context.thread.world

    async def build():
        world = context.world
        world.extra_settings = settings
        await world.open_store_endpoint()
        world.write_plan(timeout_ms=12000)
        for name, replica in replicas.items():
            world.ports[name] = await world.listen(name, replica.serve)
            world.register_replica(name, "lm")
        router = await world.start_router("n1")
        await trio.sleep(VERSIONS_KNOWN_S)
        return router

    context.router = context.thread.run(build)


@given(
    "a router before replicas that end a stream after event 2 of 6 and are silent for "
    "{silent:d} ms, where a resumed run answers after {wait:d} ms"
)
def router_before_early_ends(context, silent, wait):
    names = ("lm-1", "lm-2")
    replicas = {name: EarlyEndReplica(silent / 1000, wait / 1000) for name in names}
    start_world(context, replicas, {})


@when('a caller reads a stream of "{path}" with a silence at its end')
def read_with_silence(context, path):
    context.response = context.thread.run(call, context, path, "early")


@then("the stream is not complete before event {count:d}")
def not_complete_before(context, count):
    response = context.response
    if response.status == 200 and response.complete:
        assert event_ids(response.body) == list(range(1, count + 1)), response


@given(
    "a router with 3 s of grace before replicas that end a whole stream {span:d} ms after its "
    "start, where a resumed run {resumed}"
)
def router_with_short_grace(context, span, resumed):
    replica = LateEndReplica(span / 1000, resumes=resumed == "is unframed")
    start_world(context, {"lm-1": replica, "lm-2": replica}, {"bounds.grace_s": "3"})


@given(
    "a router with 3 s of grace before replicas that send {sent:d} of 6 events in {span:d} ms, end "
    "the stream, and {then} for {silent:d} ms"
)
def router_before_silent_ends(context, sent, span, then, silent):
    replica = SilentEndReplica(
        span / 1000, silent / 1000, sent=sent, is_killed=then == "are gone and answer nothing"
    )
    start_world(context, {"lm-1": replica, "lm-2": replica}, {"bounds.grace_s": "3"})


@when('a caller reads a stream of "{path}", and its router gets a SIGTERM at once')
def read_beside_stop(context, path):
    async def read():
        context.response = await call(context, path, "whole")

    async def play():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read)
            await trio.sleep(SENT_S)
            context.router.process.send_signal(signal.SIGTERM)

    context.thread.run(play)


@then("the caller that was there at the SIGTERM has {count:d} events, and the stream is complete")
def has_whole_stream(context, count):
    response = context.response
    assert event_ids(response.body) == list(range(1, count + 1)), response
    assert response.status == 200 and response.complete, response


@then("the caller that was there at the SIGTERM has no sign that the stream is complete")
def has_incomplete_stream(context):
    assert not context.response.complete, context.response


@given(
    "a router before replicas that say no start, close connections idle for {idle:d} ms, and end a "
    "whole stream {span:d} ms after its start"
)
def router_before_idle_closers(context, idle, span):
    replica = LateEndReplica(span / 1000, resumes=True, says_start=False, idle_s=idle / 1000)
    start_world(context, {"lm-1": replica, "lm-2": replica}, {})


@when('a caller reads a stream of "{path}" without a length')
def read_without_length(context, path):
    async def read():
        return await context.world.call(
            context.router, path, request_id="whole", deadline_ms=LONG_DEADLINE_MS
        )

    context.response = context.thread.run(read)


@then("the caller has {count:d} events, and the stream is complete")
def has_complete_stream(context, count):
    has_whole_stream(context, count)


@given(
    "a router before replicas whose streams are whole, and which end resumed ones {where} the "
    "head {span:d} ms after their start"
)
def router_before_deadline_replicas(context, where, span):
    replica = DeadlineReplica(SENT_S, span / 1000, sends_head=where == "after")
    start_world(context, {"lm-1": replica, "lm-2": replica}, {})


@when('a stream of "{path}" with a deadline of {deadline:d} ms is read')
def read_with_deadline(context, path, deadline):
    async def read():
        return await context.world.call(
            context.router, path, request_id="whole", deadline_ms=deadline
        )

    context.response = context.thread.run(read)
