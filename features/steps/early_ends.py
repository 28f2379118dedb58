"""Steps for replicas that ended answers early."""

import json
from dataclasses import replace

import msgpack
from behave import given, then, when

from features.steps.replica_speeds import EXTRAS_INDEX, message_of
from skylarklift.clock import ManualClock
from skylarklift.entry.gossip.early_end_fields import add_wait_to_early_ends
from skylarklift.entry.gossip.wire import EARLY_ENDS_KEY, decode_gossip, encode_gossip
from skylarklift.entry.model import UpstreamRecord
from skylarklift.entry.placement.early_ends import EarlyEnd, EarlyEnds, Software
from skylarklift.errors import PeerError

START_MS = 100_000
REPORT_SPAN_MS = 4000
SOFTWARE = {
    "a": ("lm", "v1"),
    "b": ("lm", "v2"),
    "c": ("till", "v1"),
    "n": ("lm", None),
}


def make_record(name):
    """Return a replica of the service and software that its name tells."""
    service, software = SOFTWARE[name[0]]
    return UpstreamRecord(name, service, "h", 1, "za", 8, False, 0, 1, software=software)


@given(
    'replicas a1, a2, a3 of software "v1", b1, b2 of "v2", c1 of another service with "v1", and '
    "n1, n2 of none"
)
def six_replicas(context):
    context.clock = ManualClock(START_MS)
    context.early_ends = EarlyEnds(context.clock)
    context.records = {name: make_record(name) for name in "a1 a2 a3 b1 b2 c1 n1 n2".split()}


@when('"{replicas}" end answers early')
@when('"" end answers early')
def end_early(context, replicas=""):
    for name in replicas.split():
        context.early_ends.record(context.records[name])


@when("a1 resets an answer")
def reset_answer(context):
    context.early_ends.record(context.records["a1"], by_reset=True)


@when("a1 then leaves the table")
def leave_table(context):
    del context.records["a1"]


@when("a1 then starts again with v2")
def start_with_other_software(context):
    context.records["a1"] = replace(context.records["a1"], software="v2", started_ms=2)


def is_doubted(context, early_ends, replica, since):
    """Return whether the end of an answer to a request that came at a moment is doubted."""
    return early_ends.is_doubted(context.records[replica], since)


@then("the end of an answer of {replica} to a request that comes {span:d} ms later is {state}")
def end_of_later_answer(context, replica, span, state):
    context.clock.advance(span)
    found = is_doubted(context, context.early_ends, replica, context.clock.now())
    assert found == (state == "doubted")


@then("{before:d} ms later the end of an answer of a1 that began {lasted:d} ms before is {state:w}")
def end_of_long_answer(context, before, lasted, state):
    context.clock.advance(before)
    found = is_doubted(context, context.early_ends, "a1", context.clock.now() - lasted)
    assert found == (state == "doubted")


@when("two routers report early ends to each other every {gap:d} ms, {way:d} ms on the way")
def report_to_each_other(context, gap, way):
    other = EarlyEnds(context.clock)
    context.reported, context.doubted = {}, {}
    for moment in range(0, REPORT_SPAN_MS, gap):
        both = [(context.early_ends, other), (other, context.early_ends)]
        reports = [(receiver, sender.reports()) for sender, receiver in both]
        context.clock.advance(way)
        for receiver, items in reports:
            for item in add_wait_to_early_ends(items, 0):
                receiver.apply_report(item)
        context.reported[moment] = [items for _, items in reports if items]
        context.doubted[moment] = is_doubted(context, other, "a1", context.clock.now())
        context.clock.advance(gap - way)


@when("early ends of a1 are reported, {first:d} and {second:d} ms old")
def report_twice(context, first, second):
    software = Software.of(context.records["a1"])
    for age_ms in (first, second):
        context.early_ends.apply_report(EarlyEnd(software, age_ms))


@then("the other one doubts a1 at {moment:d} ms")
def other_doubts(context, moment):
    assert context.doubted[moment], context.doubted


@then("none of them reports an early end from {moment:d} ms on")
def none_reports(context, moment):
    late = [items for at, items in context.reported.items() if at >= moment and items]
    assert not late, late


@when('gossip arrives whose field of early ends is "{field}"')
def read_gossip(context, field):
    items = msgpack.unpackb(encode_gossip(message_of("n1")))
    items[EXTRAS_INDEX][EARLY_ENDS_KEY] = json.loads(field)
    try:
        found = decode_gossip(msgpack.packb(items)).early_ends
    except PeerError:
        context.known = "(invalid)"
        return
    context.known = " ".join(f"{item.software.service}:{item.software.version}" for item in found)


@then('it reports early ends at "{known}"')
@then('it reports early ends at ""')
def check_known(context, known=""):
    assert context.known == known, context.known


@then("no early end is reported to other routers")
def reports_none(context):
    assert not context.early_ends.reports(), context.early_ends.reports()


@then('early ends at "{known}" are reported to other routers')
def reports_some(context, known):
    found = [
        f"{item.software.service}:{item.software.version}" for item in context.early_ends.reports()
    ]
    assert found == known.split(), found


@then('an early end of "{replica}" that is no reset tells more')
def tells_more(context, replica):
    record = context.records[replica]
    assert context.early_ends.has_recent(record, by_reset=True)
    assert not context.early_ends.has_recent(record, by_reset=False)
