"""Steps for the events of a stream and the caller's place in it."""

import re
import time

from behave import given, then, when

from skylarklift.errors import ResponseBroken, ResponseInvalid
from skylarklift.upstreams.events import EventSplitter, StreamEvent
from skylarklift.upstreams.stream_position import StreamPosition

PART = b"a" * 16384
PARTS = 63
STARTS = {"plain bytes": b"", "plain bytes behind a CR": b"data: a\r"}
LINE_END = re.compile(rb"[\r\n]")
MEASUREMENTS = 7
FAILURES = {ResponseBroken: "is broken off", ResponseInvalid: "is no part of it"}


def split(parts):
    """Return the events of bytes that arrive in parts."""
    splitter = EventSplitter()
    events = [event for part in parts for event in splitter.feed(part)]
    events += splitter.finish()
    assert splitter.partial_bytes == 0, parts
    return events


@when('the bytes "{text}" arrive in two parts, split at each place, and byte by byte')
def bytes_arrive(context, text):
    text = text.replace("\\r", "\r").replace("\\n", "\n")
    context.data = data = text.encode("latin-1")
    arrivals = [[data[:place], data[place:]] for place in range(len(data) + 1)]
    arrivals.append([data[place : place + 1] for place in range(len(data))])
    context.splits = [split(parts) for parts in arrivals]


@then('the events have the ids "{ids}", and all bytes are in them')
def events_have_ids(context, ids):
    expected = [None if name == "none" else int(name) for name in ids.split()]
    for events in context.splits:
        assert [event.event_id for event in events] == expected, events
        assert b"".join(event.raw for event in events) == context.data, events


def make_events(names):
    """Return the events that a test names."""
    raw = {"x": b"data: x\n\n", "c": b": c\n\n"}
    return [
        StreamEvent(int(name) if name.isdigit() else None, raw.get(name, b"data: e\n\n"))
        for name in names.split()
    ]


@given('a caller that has "{names}" of a stream')
@given('a caller that has "" of a stream')
def caller_has(context, names=""):
    context.position = StreamPosition(None)
    context.position.start_run(continuing=False)
    for event in make_events(names):
        assert context.position.is_next(event)


@when('a run "{start}" brings "{names}"')
@when('a run "{start}" brings ""')
def run_brings(context, start, names=""):
    position = context.position
    position.start_run(continuing=start == "goes on")
    context.got, context.result = [], "is sound"
    try:
        for name, event in zip(names.split(), make_events(names), strict=True):
            if position.is_next(event):
                context.got.append(name)
        position.end_run()
    except (ResponseBroken, ResponseInvalid) as exc:
        context.result = FAILURES[type(exc)]


@then('the caller gets "{names}", and the run {result}')
@then('the caller gets "", and the run {result}')
def caller_gets(context, result, names=""):
    assert context.got == names.split(), context.got
    assert context.result == result, context.result


@then("another run {result}")
def another_run(context, result):
    assert context.position.exact == (result == "may go on"), context.position.last


def shortest_ms(work):
    """Return the processor time that some work takes, if nothing else delays it."""
    spans = []
    for _ in range(MEASUREMENTS):
        started = time.thread_time()
        work()
        spans.append((time.thread_time() - started) * 1000)
    return min(spans)


@when("1 MB of {kind} arrive in parts of 16384 bytes")
def plain_bytes_arrive(context, kind):
    def feed_all():
        splitter = EventSplitter()
        for part in [STARTS[kind], *[PART] * PARTS]:
            assert not splitter.feed(part)

    context.feed_ms = shortest_ms(feed_all)


@then("that took at most {most:g} times the time to look for a character in them")
def took_at_most_times(context, most):
    def look():
        for _ in range(PARTS):
            assert LINE_END.search(PART) is None

    span = shortest_ms(look)
    assert context.feed_ms <= most * span, (context.feed_ms, span)
