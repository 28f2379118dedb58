"""Steps for nominal starts of streams, and for the versions that follow from them."""

from dataclasses import replace

from behave import given, then, when

from features.nominal_world import (
    JITTER_MS,
    QUIET_MS,
    RESTART_MS,
    ROUTE,
    TIMEOUT_MS,
    BegunStream,
    World,
)
from features.release_fixtures import SERVICE, parse_weights
from skylarklift.clock import ManualClock
from skylarklift.entry.versions.nominal_steps import versions_at
from skylarklift.entry.versions.release_steps import ReleaseStep, pick_version
from skylarklift.entry.versions.releases import Releases
from skylarklift.entry.versions.version_counts import CountHistory
from skylarklift.ids import SoftwareVersion

HOUR_MS = 3_600_000


@given("routers that know the span of a route, and one that learns of rows {delay:d} ms later")
def routers(context, delay):
    context.world = World(delay)
    context.world.pass_time(QUIET_MS)


@given("callers {callers} from now on")
def callers_from_now(context, callers):
    context.world.callers = callers


@given(
    "a release of {replicas:d} replicas, one each {gap:d} ms, "
    "in which callers with deadlines begin streams"
)
def release(context, replicas, gap):
    world = context.world
    world.counts = {"v1": replicas}
    world.pass_time(QUIET_MS)
    world.begins = True
    for done in range(replicas - 2):
        for old in (replicas - done, replicas - done - 1):
            world.counts = {"v1": old, "v2": done + 1}
            world.pass_time(gap // 2)
    context.fresh = Releases(world.clock)
    world.clock.advance(RESTART_MS)
    context.killed_at = world.clock.now() - RESTART_MS


@given("the store comes back from a copy of {lost:d} ms, and the routers that start write the row")
def store_comes_back(context, lost):
    world = context.world
    context.copied_at = context.killed_at - lost
    world.store.restore(world.clock.now() - context.copied_at)
    world.writer = context.fresh
    context.fresh.apply(world.store.read())
    context.fresh.confirm(0)
    world.history = CountHistory(world.clock)
    world.write()
    context.fresh = Releases(world.clock)


@when("their streams are resumed at a router that remembers none")
def resume_all(context):
    world, fresh = context.world, context.fresh
    fresh.apply(world.store.read())
    fresh.confirm(0)
    context.found = {
        stream: find_version(world, fresh, stream)
        for stream in world.streams
        if world.clock.now() - stream.began_at < stream.waits_ms - JITTER_MS
    }
    assert context.found or world.callers == "that name no deadline"


def find_version(world, releases, stream: BegunStream) -> SoftwareVersion | None:
    """Return where a stream may go on, `None` if that is not certain."""
    age_ms = world.clock.now() - stream.began_at
    left_ms = stream.waits_ms - age_ms + world.rng.randint(-JITTER_MS, JITTER_MS)
    start = releases.spans.nominal_start(SERVICE, ROUTE, left_ms)
    if start is None:
        return None
    versions = releases.began_nominally(SERVICE, stream.key, start)
    return next(iter(versions)) if versions and len(versions) == 1 else None


@then("at least {share:d} in 100 of all go on")
def share_goes_on(context, share):
    going = [version for version in context.found.values() if version is not None]
    assert 100 * len(going) >= share * len(context.found), f"{len(going)} of {len(context.found)}"


@then("at least half of those from before the copy go on")
def half_before_copy(context):
    before = {
        stream: version
        for stream, version in context.found.items()
        if stream.began_at < context.copied_at
    }
    going = [version for version in before.values() if version is not None]
    assert before
    assert 2 * len(going) >= len(before), f"{len(going)} of {len(before)}"


@when("for {span:d} ms it is so that {routers}")
def routers_for(context, routers, span):
    world = context.world
    if routers == "a router that does not know them writes the row":
        stored = world.store.read()
        row = replace(stored, row_version=world.store.read().row_version, spans=())
        world.writer.apply(world.store.write(row))
        world.writer.spans.allowed = world.knows_all = False
    if routers == "a router that does not know them is heard":
        world.knows_all = False
    world.pass_time(span)


@when("a caller waits for an hour at one of them, and {span:d} ms pass")
def waits_for_an_hour(context, span):
    world = context.world
    world.other.spans.seen.record(SERVICE, ROUTE, HOUR_MS, TIMEOUT_MS)
    world.pass_time(span)


@then("a stream that begins then has a nominal start: {known}")
def has_nominal_start(context, known):
    context.world.clock.advance(RESTART_MS)
    fresh = Releases(context.world.clock)
    fresh.apply(context.world.store.read())
    found = fresh.spans.nominal_start(SERVICE, ROUTE, TIMEOUT_MS - RESTART_MS)
    assert (found is not None) == (known == "yes"), found


@given('the steps "{steps}" of a row')
def steps_of_row(context, steps):
    context.steps = tuple(map(parse_step, steps.split()))


def parse_step(text: str) -> ReleaseStep:
    """Return the step AGE_MS[/SETTLED_MS]=WEIGHTS, an unknown one without weights."""
    ages, weights = text.split("=")
    age, _, settled = ages.partition("/")
    known = parse_weights(weights) if weights else ()
    return ReleaseStep(int(age), known, settled_ms=int(settled) if settled else None)


@when(
    'a stream of a prompt of "{first} {last}" nominally began {age:d} ms ago, '
    "and a router is apart since {apart:d} ms ago"
)
def nominally_began(context, first, last, age, apart):
    key = next(
        key
        for key in (f"p{number}" for number in range(1000))
        if pick_version(key, context.steps[0].weights) == first
        and all(
            pick_version(key, step.weights) == last for step in context.steps[1:] if step.is_known
        )
    )
    context.versions = versions_at(context.steps, key, age, apart)


@then('it may be of "{versions}"')
def may_be_of(context, versions):
    expected = None if versions == "unknown" else frozenset(versions.split())
    assert context.versions == expected, context.versions


@given('a service whose replicas were "{before}" {span:d} ms ago, and are "{now}"')
def replicas_were(context, before, span, now):
    clock = ManualClock(1_000_000)
    context.history = CountHistory(clock)
    context.history.record(SERVICE, counts_of(before))
    clock.advance(span)
    context.counts = counts_of(now)
    context.history.record(SERVICE, context.counts)


def counts_of(text: str) -> dict[str, int]:
    """Return the numbers VERSION:REPLICAS,..."""
    return {item.version: item.weight for item in parse_weights(text)}


@when("the proportions are written for {ahead:d} ms from now")
def written_for(context, ahead):
    context.written = context.history.forecast(SERVICE, context.counts, ahead)


@then('they are "{written}"')
def they_are(context, written):
    assert context.written == counts_of(written), context.written
