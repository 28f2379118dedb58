"""Steps for the check of what routers decide about streams that callers take up."""

import json

from behave import given, then, when

from soak.stream_checker import Kind, SentCall, Try
from soak.stream_decisions import check_decisions, parse_decisions

START_MS = 10_000


def log_line(attempt: str, text: str) -> str:
    """Return a router's log line about a decision, written as SOURCE [VERSION]."""
    source, *version = text.split(" ")
    fields = {"id": attempt, "resumes": "t0", "resumption": source}
    if version:
        fields["version"] = version[0]
    return json.dumps(fields)


@given("a try of a stream that {state}")
def stream_tried(context, state):
    ends_ms = {"has ended": START_MS - 1000, "goes on": START_MS + 1000}[state]
    context.call = SentCall("q", Kind.STREAM, 6, tries=[Try("t0", "n0", ended_ms=ends_ms)])


@when('n1 decides "{first}" about it, and n2 "{second}" {gap:d} ms later')
def routers_decide(context, first, second, gap):
    decided = [("t1", "n1", START_MS, first), ("t2", "n2", START_MS + gap, second)]
    for attempt, router, at_ms, _ in decided:
        context.call.tries.append(Try(attempt, router, 3, started_ms=at_ms, answered_ms=at_ms))
    lines = [log_line(attempt, text) for attempt, _, _, text in decided]
    decisions = parse_decisions([*lines, lines[0][:-9]])
    context.found = check_decisions(context.call, decisions)


@then("the decisions {verdict}")
def decisions_compared(context, verdict):
    expected = {"agree": 0, "contradict each other": 1}[verdict]
    assert len(context.found) == expected, context.found
