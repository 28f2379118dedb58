"""Steps for the deadlines of callers, and how old a stream may be by them."""

from dataclasses import replace
from random import Random

from behave import then, when

from features.release_fixtures import (
    EMPTY_SUMMARIES,
    ROW_VERSION,
    SERVICE,
    STORE_NOW_MS,
    parse_steps,
)
from skylarklift.clock import ManualClock
from skylarklift.entry.gossip.fleet import GossipMessage
from skylarklift.entry.gossip.wire import decode_gossip, encode_gossip
from skylarklift.entry.state.rows import NO_ERA
from skylarklift.entry.versions.release_rows import ReleaseReport, decode_report, encode_report
from skylarklift.entry.versions.releases import Releases
from skylarklift.entry.versions.stream_deadlines import StreamDeadlines

START_MS = 1_000_000
TIMEOUT_MS = 5000


def at(clock, second):
    """Let the clock go on until a second of the scenario."""
    clock.advance(START_MS + round(second * 1000) - clock.now())


@when("callers name the deadlines {named}")
def deadlines_named(context, named):
    context.clock = ManualClock(START_MS)
    context.releases = Releases(context.clock)
    steps = parse_steps("9=v1:1")
    context.releases.apply(ReleaseReport(SERVICE, ROW_VERSION, steps, written_in=NO_ERA))
    for item in named.split():
        span, second = map(int, item.split("@"))
        at(context.clock, second)
        context.releases.deadlines.record(SERVICE, span * 1000)


@when("a caller resumes a stream at {now:d} s with {left:d} s left, {where}")
def stream_resumed(context, now, left, where):
    at(context.clock, now)
    report, releases = context.releases.reports()[0], context.releases
    if where == "at another router":
        message = GossipMessage("n1", "b", "", EMPTY_SUMMARIES, releases=(report,))
        releases = Releases(context.clock)
        releases.apply(decode_gossip(encode_gossip(message)).releases[0])
    elif where == "by the row":
        data = encode_report(replace(report, row_version=ROW_VERSION), STORE_NOW_MS)
        releases = Releases(context.clock)
        releases.apply(decode_report(SERVICE, ROW_VERSION, data, STORE_NOW_MS, NO_ERA))
    context.age_ms = releases.max_age_ms(SERVICE, TIMEOUT_MS, left * 1000)


@then("the stream began at most {age:d} ms ago")
def began_at_most(context, age):
    assert context.age_ms == age, context.age_ms


@when("callers name {count:d} deadlines of random length at random moments, seed {seed:d}")
def random_deadlines(context, count, seed):
    rng = Random(seed)
    context.clock = ManualClock(START_MS)
    context.deadlines, context.named, context.counts = StreamDeadlines(context.clock), [], []
    context.odd = []
    for _ in range(count):
        context.clock.advance(rng.randrange(20_000))
        span_ms = rng.choice((rng.randrange(1, 20_000), rng.randrange(1, 900_000)))
        context.deadlines.record(SERVICE, span_ms)
        context.named.append((span_ms, context.clock.now()))
        context.counts.append(len(context.deadlines.all(SERVICE)))
        check_ages(context)


def check_ages(context):
    """Compare the age of each stream that may still be resumed with what is taken for its most."""
    now = context.clock.now()
    for span_ms, named_at in context.named:
        left_ms = named_at + span_ms - now
        if left_ms <= 0:
            continue
        age_ms = context.deadlines.max_age_ms(SERVICE, TIMEOUT_MS, left_ms)
        if age_ms is not None and age_ms < now - named_at:
            context.odd.append((span_ms, now - named_at, age_ms))


@then("no stream of theirs counts as younger than it is, at any moment")
def none_younger(context):
    assert not context.odd, context.odd[:5]


@then("at most {count:d} deadlines are known")
def deadlines_bounded(context, count):
    assert 1 < max(context.counts) <= count, max(context.counts)
