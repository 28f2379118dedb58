"""Steps for early ends that a router cannot tell from those of whole streams."""

import json

from behave import given, then, when

from soak.believed_ends import find_believed, mark_believed
from soak.stream_checker import Kind, ReplicaRun, SentCall, Try, TryEnd, check_events

EVENT_COUNT = 6
LAST_EVENT = 3
# When the run ended of which the stream is, and when its caller had the end.
ENDED_MS, CALLER_ENDED_MS = 1000, 1100
SECOND_RUN_MS = 50


def make_line(event, at_ms, **fields):
    """Return a line of the router's log."""
    return json.dumps({"ms": at_ms, "node": "n1", "event": event, **fields})


@given(
    'a run of "{replica}" "{version}" that ended "{ended}" after event {last:d} with framing '
    '"{framing}"'
)
def run_ended(context, replica, version, ended, last, framing):
    run = ReplicaRun("lm-1-own.1.1", "t1", replica, version, framing=framing)
    run.ended, run.last_sent, run.ended_ms, run.first = ended, last, ENDED_MS, 1
    context.runs = [run]


@given("the run was asked after event {last:d}, and sent no event")
def run_sent_none(context, last):
    context.runs[0].first = last + 1


@given(
    'another run of the stream, which ended "{ended}" after event {last:d} with framing '
    '"{framing}", {span:d} ms {when_ended}'
)
def other_run_ended(context, ended, last, framing, span, when_ended):
    run = ReplicaRun("lm-2-own.1.2", "t1", "lm-2-own", "v1", framing=framing, first=LAST_EVENT)
    moments = {
        "before it": ENDED_MS - span,
        "after it": ENDED_MS + span,
        "after the caller's end": CALLER_ENDED_MS + span,
    }
    run.ended, run.last_sent, run.ended_ms = ended, last, moments[when_ended]
    context.runs.append(run)


@given(
    'a second run of "{attempt}" from event {first:d} that ended "{ended}" after event {last:d} '
    'with framing "{framing}"'
)
def second_run_ended(context, attempt, first, ended, last, framing):
    run = ReplicaRun("lm-2-own.1.2", attempt, "lm-2-own", "v1", first=first, framing=framing)
    run.ended, run.last_sent, run.ended_ms = ended, last, ENDED_MS + SECOND_RUN_MS
    context.runs.append(run)


@given('a run of "{replica}" "{version}", and one of "{other}" "{other_version}"')
def other_runs(context, replica, version, other, other_version):
    context.runs.append(ReplicaRun("x.1.1", "x", replica, version, ended="whole"))
    context.runs.append(ReplicaRun("y.1.1", "y", other, other_version, ended="whole"))


@when(
    'its router logs "{log}", and completes it at {at:d} ms, {taken:d} ms after its begin, by '
    '"{proof}"'
)
@when(
    'its router logs "", and completes it at {at:d} ms, {taken:d} ms after its begin, by "{proof}"'
)
def router_logs(context, at, taken, proof, log=""):
    lines = [make_line("start", 0)]
    for entry in filter(None, log.split(", ")):
        if entry == "start":
            lines.append(make_line("start", 0))
            continue
        upstream, ms, *version = entry.split(" ")
        named = {"version": version[0]} if version else {}
        lines.append(make_line("early_end", int(ms), upstream=upstream, **named))
    fields = {"id": "t1", "ms_taken": taken, "end_proof": proof, "sends": ["lm-1-own:unconfirmed"]}
    context.lines = [*lines, make_line("request", at, **fields), '{"event": "request", "id": "t']


@then("the soak takes the stream for {verdict}")
def stream_verdict(context, verdict):
    item = Try("t1", "n1", status=200, end=TryEnd.COMPLETE, resume_after=LAST_EVENT)
    item.ended_ms = CALLER_ENDED_MS
    call = SentCall("q", Kind.ONCE, EVENT_COUNT, tries=[item])
    marked = mark_believed([call], context.runs, find_believed(context.lines, context.runs))
    assert marked.total() == (verdict == "excused"), marked
    assert bool(check_events(call)) == (verdict == "broken"), check_events(call)
