"""Steps for the callers of the soak of streams."""

from random import Random
from types import SimpleNamespace

import trio
from behave import then, when

from soak.stream_callers import CallRun, Link
from soak.stream_checker import Kind, SentCall, StreamChecker, Try
from soak.stream_habits import ID_STEP, Habits
from soak.stream_load import SHORT
from standins.stream_events import EVENT_BYTES, encode_event

LAST_EVENT = 2
HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
HABITS = Habits(overlaps=True, leaves_old_tries=True)


def make_body(software: str, count: int) -> bytes:
    """Return the first events of a stream, as one chunk."""
    names = f"a {software} a.1.1 q"
    data = b"".join(encode_event(n, names, EVENT_BYTES) for n in range(1, count + 1))
    return b"%x\r\n%s\r\n" % (len(data), data)


class ScriptedStream:
    """A connection on which an answer arrives once `arrived` is set."""

    def __init__(self, answer: bytes, arrived: trio.Event):
        self._answer = answer
        self._arrived = arrived
        self.socket = SimpleNamespace(close=lambda: None)

    async def send_all(self, data: bytes) -> None:
        """Take a request."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, size: int) -> bytes:
        """Return the answer; like a socket that has received it, despite a cancellation."""
        with trio.CancelScope(shield=True):
            await self._arrived.wait()
        data, self._answer = self._answer, b""
        return data


class ScriptedCaller:
    """A caller with two routers: the first event of the one arrives when the other is asked."""

    def __init__(self, first_answer: bytes, second_answer: bytes):
        self._answers = [first_answer, second_answer]
        self._asked_again = trio.Event()

    def choose_router(self, but_not: set[str]) -> SimpleNamespace:
        """Return the router of the next try."""
        return SimpleNamespace(name=f"n{len(self._answers)}")

    async def take_link(self, router: SimpleNamespace) -> Link:
        """Return a connection to the next router; the second one brings the first one's answer."""
        answer = self._answers.pop(0)
        if not self._answers:
            self._asked_again.set()
        return Link(ScriptedStream(answer, self._asked_again))

    def keep_link(self, router: SimpleNamespace, link: Link) -> None:
        """Forget a connection."""


@when('a caller begins a stream again while {arriving} of "{software}" arrives')
def begins_again(context, arriving, software):
    count = {"event 1": 1, "the whole stream": LAST_EVENT}[arriving]
    first = HEAD + make_body(software, count) + (b"0\r\n\r\n" if count == LAST_EVENT else b"")
    second = HEAD + make_body("v2", LAST_EVENT) + b"0\r\n\r\n"
    context.call = SentCall("q", Kind.STREAM, LAST_EVENT)

    async def run():
        caller = ScriptedCaller(first, second)
        with trio.fail_after(10):
            await CallRun(context.call, caller, Random(1), HABITS, SHORT).run()

    trio.run(run)


@then("only the events of its last try count")
def last_try_counts(context):
    first, second = context.call.tries
    assert not first.events and second.last_event == LAST_EVENT, context.call
    checker = StreamChecker([])
    checker.check(context.call)
    assert not checker.violations, checker.violations


@when("a caller that asked for events of {asked:d} bytes receives one of {size:d}")
def receives_event(context, asked, size):
    context.received = Try("t1", "n1", status=200, event_bytes=asked)
    context.received.receive(encode_event(1, "a v1 a.1.1 q", size), is_stream=True)


@when("a caller that asked for ids with gaps receives event 2 with id {event_id:d}")
def receives_event_with_id(context, event_id):
    context.received = Try("t1", "n1", status=200, id_step=ID_STEP)
    context.received.receive(b"id: %d\ndata: a v1 a.1.1 q 2\n\n" % event_id, is_stream=True)


@then("{count:d} events are unreadable")
def events_are_unreadable(context, count):
    received = context.received
    assert (len(received.unreadable), len(received.events)) == (count, 1 - count)


@then("the event is unreadable")
def event_is_unreadable(context):
    assert len(context.received.unreadable) == 1 and not context.received.events
