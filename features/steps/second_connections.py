"""Steps for second connections to the process of an answer."""

import trio
from behave import given, then, when

from features.steps.ends_in_time import LONG_DEADLINE_MS, parse_fields, start_world
from features.steps.entry_answers import CHUNKS, STREAM_HEAD, add_world, call
from skylarklift.clock import ManualClock
from skylarklift.entry.placement.undelimited_services import UndelimitedServices
from standins.replica import STATUS_PATH
from standins.request_heads import receive_head
from standins.scripted_replica import (
    EVENTS,
    NO_STATUS,
    SIGNED_HEAD,
    Ending,
    Reply,
    chunked,
    framed,
)
from standins.stream_events import EVENT_END

SERVICE = "till"
START_MS = 100_000
BODY = b"whole"


class SlowChunksReplica:
    """Send streams in chunks for a time; it does not say when it started.

    `accepted` and `open` count its connections, in all and now, and `counts` holds both as they
    were after each event.
    """

    def __init__(self, span_s):
        self._span_s = span_s
        self.accepted = self.open = 0
        self.counts = []

    async def serve(self, stream):
        """Serve one connection."""
        self.accepted += 1
        self.open += 1
        try:
            async with stream:
                while head := await receive_head(stream):
                    if STATUS_PATH in head:
                        await stream.send_all(NO_STATUS)
                    else:
                        await self._answer(stream, head)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The router closed the connection.
            return
        finally:
            self.open -= 1

    async def _answer(self, stream, head):
        """Answer a request for a stream."""
        name = parse_fields(head)[b"x-attempt-id"]
        await stream.send_all((STREAM_HEAD + CHUNKS).replace(b"%s", name))
        events = EVENTS.split(EVENT_END)[:-1]
        for number, event in enumerate(events, 1):
            await stream.send_all(chunked(event + EVENT_END, whole=number == len(events)))
            await trio.sleep(self._span_s / len(events))
            self.counts.append((self.accepted, self.open))


@given(
    'a router that has read answers "{answers}" of a service, each {gap:d} ms after the one before'
)
@given('a router that has read answers "" of a service, each {gap:d} ms after the one before')
def router_has_read(context, gap, answers=""):
    clock = ManualClock(START_MS)
    context.services = UndelimitedServices(clock)
    record = {
        "chunks": context.services.record_other,
        "said": context.services.record_other,
        "untold": context.services.record_undelimited,
        "asked": context.services.is_expected,
    }
    for answer in answers.split():
        record[answer](SERVICE)
        clock.advance(gap)


@then("the next one {state} to need a second connection before it")
def next_one_is(context, state):
    assert context.services.is_expected(SERVICE) == (state == "is expected")


@given("a router before 1 replica whose answers are {form}")
def replica_with_answers(context, form):
    def reply(request):
        if form == "with a length":
            return Reply(framed(SIGNED_HEAD, BODY))
        return Reply(SIGNED_HEAD + b"\r\n" + BODY, Ending.CLOSE)

    add_world(context, 1, reply)


@when('{count:d} requests to "{path}" are sent to it in a row')
def requests_in_series(context, count, path):
    context.answers = [
        context.thread.run(call, context, path, f"id-{number}") for number in range(count)
    ]


@then("all are whole, and the replica has accepted at most {most:d} connections")
def all_whole_at_cost(context, most):
    broken = [item for item in context.answers if item.status != 200 or item.body != BODY]
    assert not broken, broken
    assert context.scripted[0].accepted <= most, context.scripted[0].accepted


@given(
    "a router before 1 replica that does not say when it started, and sends streams in chunks for "
    "{span:d} ms"
)
def router_before_slow_chunks(context, span):
    context.replica = SlowChunksReplica(span / 1000)
    start_world(context, {"lm-1": context.replica}, {})


@when('a caller reads its stream of "{path}"')
def stream_is_read(context, path):
    async def read():
        return await context.world.call(
            context.router, path, request_id="slow", deadline_ms=LONG_DEADLINE_MS
        )

    context.response = context.thread.run(read)


@then(
    "from the first event on the replica has accepted no connection, and has {count:d} open at "
    "the last one"
)
def no_connection_more(context, count):
    counts = context.replica.counts
    assert counts[-1] == (counts[0][0], count), counts
