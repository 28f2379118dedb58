"""Steps for the judge of answers that were cut off."""

import json

from behave import given, then, when

from soak.lost_answers import (
    Bounds,
    Fate,
    LostJudge,
    RouterStop,
    describe_lost,
    parse_reports,
    parse_stops,
)
from soak.stream_checker import Kind, ReplicaRun, SentCall, Try, TryEnd

MS_PER_SECOND = 1000
# Times in the scenarios are relative to this one.
BASE_MS = 100_000
TIMEOUT_MS = 30_000


def prepare(context, grace_s: int, stops: list[RouterStop]):
    context.grace_ms, context.stops = grace_s * MS_PER_SECOND, stops
    context.deadline_ms, context.timeout_ms, context.replicas_live = None, TIMEOUT_MS, True
    context.reads_slowly = False


@given('a grace period of {grace_s:d} s, and a SIGTERM of "{router}" at {at:d} ms')
def router_stopped(context, grace_s, router, at):
    prepare(context, grace_s, [RouterStop(router, BASE_MS + at)])


@given('a grace period of {grace_s:d} s, and a log of a run with "{log}"')
def log_written(context, grace_s, log):
    lines = []
    for entry in log.split("; "):
        event, node, at = entry.split(" ")
        lines.append(json.dumps({"event": event, "node": node, "at_ms": BASE_MS + int(at)}))
    prepare(context, grace_s, parse_stops(lines))


@given("a deadline at {deadline:d} ms and a timeout of {timeout:d} ms")
def time_limited(context, deadline, timeout):
    context.deadline_ms, context.timeout_ms = BASE_MS + deadline, timeout


@given("a caller that reads slowly")
def caller_reads_slowly(context):
    context.reads_slowly = True


@given("replicas that are killed at times")
def replicas_killed(context):
    context.replicas_live = False


@when(
    'a try sent to "{router}" at {sent:d} ms ends "{end}" with status {status:d} at {at:d} ms, and'
    ' its run "{run}" at {run_at:d} ms'
)
def try_made(context, router, sent, end, status, at, run, run_at):
    item = Try("t1", router, status=status, end=TryEnd(end), deadline_ms=context.deadline_ms)
    item.started_ms, item.ended_ms = BASE_MS + sent, BASE_MS + at
    item.reads_slowly = context.reads_slowly
    made = ReplicaRun("a.1.1", "t1", "a")
    if run != "goes on":
        made.ended, made.ended_ms = run, BASE_MS + run_at
    timeouts_ms = dict.fromkeys(Kind, context.timeout_ms)
    bounds = Bounds(context.grace_ms, timeouts_ms, context.replicas_live)
    context.judge = LostJudge([] if run == "none" else [made], context.stops, bounds)
    context.item, context.call = item, SentCall("q", Kind.ONCE, 6, tries=[item])


@then('the fate of the try is "{fate}"')
def fate_is(context, fate):
    assert context.judge.decide(Kind.ONCE, context.item) is Fate(fate)


@then("the judge counts {lost:d} lost try and {whole:d} whole run that was cut off")
def judge_counts(context, lost, whole):
    assert len(context.judge.count(context.call)) == lost
    summary = context.judge.summary
    assert (summary.fates[Fate.LOST], summary.cut_whole) == (lost, whole), summary.describe()


@when('a router has logged "{line}"')
def router_logged(context, line):
    context.reports = parse_reports([line])


@then('the report of a lost try "{attempt}" ends with "{text}"')
def report_ends(context, attempt, text):
    found = describe_lost(Try(attempt, "n1", end=TryEnd.RESET), context.reports)
    assert found.endswith(text), found
