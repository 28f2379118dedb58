"""Steps for ends of streams that nothing confirms."""

import h11
import trio
from behave import given, then, when

from features.steps.entry_answers import CHUNKS, STREAM_HEAD, call
from features.steps.entry_bytes import old_caller_head
from features.steps.entry_ends import VERSIONS_KNOWN_S
from features.world_thread import WorldThread, event_ids
from standins.entry_world import HOST, Response
from standins.scripted_replica import Ending, Reply, ScriptedReplica, chunked, framed

EVENT_COUNT = 6
# Streams of this path end within an event.
BROKEN_PATH = b"/once/broken"
MAX_BROKEN_STREAMS = 30
READ_BYTES = 65536
LONGEST_READ_S = 14
MAX_TRIES = 4
REFUSAL = b"HTTP/1.1 503 Full\r\nx-attempt-id: %s\r\nx-not-executed: 1\r\n"
# What a replica answers to a resumed run, by the name of the case.
RESUMED = {
    "a resumed run brings nothing": Reply(b""),
    "a resumed run is reset": Reply(STREAM_HEAD + b"\r\n", Ending.RESET),
    "a resumed run is refused": Reply(framed(REFUSAL, b"")),
    "each resumed run is cut": Reply(STREAM_HEAD + b"\r\n", Ending.CLOSE),
}
# With this in front of a case, the first run sends its events, and then neither more nor an end.
FIRST_RUN_SILENT = "the first run falls silent, and "
NO_BUDGET = {"bounds.budget_extra": "0", "bounds.retry_budget_ratio": "0.0"}


def make_events(first, last, *, with_ids=True):
    """Return the events from the first to the last one."""
    numbers = range(first, last + 1)
    if not with_ids:
        return b"".join(b"data: e-%d\n\n" % number for number in numbers)
    return b"".join(b"id: %d\ndata: e-%d\n\n" % (number, number) for number in numbers)


def make_answer(sent, case):
    """Return what replicas answer to a request in a case."""
    resets = []
    first_ending = Ending.KEEP if case.startswith(FIRST_RUN_SILENT) else Ending.CLOSE
    case = case.removeprefix(FIRST_RUN_SILENT)

    def answer(request):
        if request.target.startswith(BROKEN_PATH):
            events = make_events(1, 1) + b"id: 2\nda"
            return Reply(STREAM_HEAD + b"\r\n" + events, Ending.CLOSE)
        if not request.last_event:
            events = make_events(1, sent, with_ids=case != "events have no ids")
            return Reply(STREAM_HEAD + b"\r\n" + events, first_ending)
        if case in RESUMED:
            return RESUMED[case]
        if case.startswith("a resumed run is cut once") and not resets:
            resets.append(request)
            return Reply(STREAM_HEAD + b"\r\n", Ending.CLOSE)
        if case == "a resumed run is reset once" and not resets:
            resets.append(request)
            return RESUMED["a resumed run is reset"]
        rest = make_events(int(request.last_event) + 1, EVENT_COUNT)
        if case.startswith("a resumed run is unframed"):
            return Reply(STREAM_HEAD + b"\r\n" + rest, Ending.CLOSE)
        return Reply(STREAM_HEAD + CHUNKS + chunked(rest))

    return answer


@given("a router whose replicas end a stream in order after event {sent:d} of 6, where {case}")
def router_before_orderly_ends(context, sent, case):
    context.scripted = [ScriptedReplica(make_answer(sent, case), born=1) for _ in range(2)]
    context.thread = WorldThread()
    context.cleanups = [*getattr(context, "cleanups", []), context.thread.close]
    context.world = context.thread.world

    async def build():
        world = context.world
        if case.endswith("the retry budget is used up"):
            world.extra_settings = NO_BUDGET
        await world.open_store_endpoint()
        runs = {"max_attempts": 1} if case == "the route allows one run" else {}
        world.write_plan(timeout_ms=12000, **runs)
        for number, replica in enumerate(context.scripted, 1):
            name = f"lm-{number}"
            world.ports[name] = await world.listen(name, replica.serve)
            world.register_replica(name, "lm")
        router = await world.start_router("n1")
        await trio.sleep(VERSIONS_KNOWN_S)
        return router

    context.router = context.thread.run(build)


@given("the replicas have ended streams within an event before")
def replicas_have_broken_off(context):
    async def read_broken():
        for number in range(MAX_BROKEN_STREAMS):
            if all(has_broken_off(replica) for replica in context.scripted):
                return
            path, request_id = BROKEN_PATH.decode(), f"broken-{number}"
            await context.world.call(context.router, path, request_id=request_id)

    context.thread.run(read_broken)
    assert all(has_broken_off(replica) for replica in context.scripted), context.scripted


def has_broken_off(replica):
    """Return whether a replica has ended a stream within an event."""
    return any(item.target.startswith(BROKEN_PATH) for item in replica.received)


@when('an HTTP/{http} caller reads a stream of "{path}" to its end')
def read_to_end(context, http, path):
    head = old_caller_head(path, deadline_ms=6000).replace(b"HTTP/1.0", b"HTTP/" + http.encode())

    async def read():
        with trio.fail_after(LONGEST_READ_S):
            async with await trio.open_tcp_stream(HOST, context.router.caller_port) as stream:
                await stream.send_all(head)
                return await read_answer(stream, path)

    context.answer = context.thread.run(read)


async def read_answer(stream, path):
    """Return what a caller makes of the answer on a connection."""
    http, answer = h11.Connection(h11.CLIENT), Response()
    http.send(h11.Request(method="POST", target=path, headers=[("host", "app.example")]))
    http.send(h11.EndOfMessage())
    while True:
        try:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive_some(READ_BYTES))
                continue
        except (h11.RemoteProtocolError, trio.BrokenResourceError):
            return answer
        if isinstance(event, h11.Response):
            answer.status = event.status_code
        elif isinstance(event, h11.Data):
            answer.body += event.data
        else:
            answer.complete = isinstance(event, h11.EndOfMessage)
            return answer


@then("the caller got {count:d} events, and no sign that the stream is complete")
def got_events_without_end(context, count):
    answer = context.answer
    assert answer.body.count(b"data: e-") == count, answer
    assert (answer.status == 200) == (count > 0), answer
    assert not (answer.status == 200 and answer.complete), answer


@then("the caller got {count:d} events, and the stream is complete")
def got_whole_stream(context, count):
    answer = context.answer
    assert answer.body.count(b"data: e-") == count, answer
    assert answer.status == 200 and answer.complete, answer


@when(
    'a caller reads a stream of "{path}", and takes it up behind its last event until it is '
    "complete"
)
def take_up_until_complete(context, path):
    context.numbers, context.tries = [], 0

    async def send(headers):
        return await context.world.call(
            context.router, path, request_id=f"try-{context.tries}", headers=headers
        )

    for _ in range(MAX_TRIES):
        context.tries += 1
        headers = {}
        if context.numbers:
            headers = {"last-event-id": str(context.numbers[-1]), "resumes": "try-1"}
        response = context.thread.run(send, headers)
        context.numbers += event_ids(response.body)
        if response.status == 200 and response.complete:
            return


@then("it has {count:d} events after {tries:d} tries")
def has_events_after_tries(context, count, tries):
    assert context.numbers == list(range(1, count + 1)), context.numbers
    assert context.tries == tries, context.tries


@when('{count:d} callers read streams of "{path}" one after the other')
def read_one_after_the_other(context, count, path):
    for number in range(count):
        context.thread.run(call, context, path, f"id-{number}")


@then("no replica was ejected, and no crash was suspected")
def none_ejected(context):
    events = {line["event"] for line in context.router.lines()}
    assert not events & {"upstream_ejected", "crash_suspected"}, events
