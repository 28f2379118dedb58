"""Steps for what nominal starts of streams miss: late tries, changed spans, routers that differ."""

from collections import Counter
from dataclasses import dataclass, replace

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
from features.release_fixtures import SERVICE, RowOfService
from features.steps.nominal_starts import parse_step
from skylarklift.clock import ManualClock
from skylarklift.entry.versions.nominal_steps import version_at, versions_at
from skylarklift.entry.versions.release_rows import ReleaseReport, decode_report, encode_report
from skylarklift.entry.versions.releases import Releases
from skylarklift.ids import SoftwareVersion

HOUR_MS = 3_600_000
# For shares of a version that are certain to a few in 100.
STREAMS_PER_TICK = 30


@dataclass
class LateStore(RowOfService):
    """A row in a store whose answers tell its time of a while ago."""

    def write(self, report: ReleaseReport) -> ReleaseReport:
        """Write the row if it is still the one that its writer knows; return it as it is."""
        count = len(self.stored)
        super().write(report)
        if len(self.stored) > count:
            data = encode_report(report, self.clock.now() - self.late_ms)
            self.stored[-1] = replace(self.stored[-1], data=data)
        return self.read()

    def read(self) -> ReleaseReport:
        """Return the row, with the ages that a reader takes it to have."""
        row, now_ms = self.stored[-1], self.clock.now() - self.late_ms
        return decode_report(SERVICE, row.version, row.data, now_ms, self.era)


@dataclass
class ReviewWorld(World):
    """Two routers, of which the second one may be apart, and tries that may arrive late."""

    late_share: float = 0.0
    late_ms: int = 0
    longest_ms: int = TIMEOUT_MS
    takes_writes: bool = True
    waits_ms: tuple[int, ...] = ()

    def write(self) -> None:
        """Let the writer write the row while the store takes writes."""
        if self.takes_writes:
            super().write()

    def draw_wait(self) -> int:
        """Return for how long a caller waits."""
        return round(self.longest_ms * self.rng.uniform(0.85, 1.0))

    def begin(self) -> None:
        """Let callers begin streams, of which some arrive later than they were sent."""
        if self.waits_ms:
            self.begin_apart()
            return
        count = len(self.streams)
        super().begin()
        for number in range(count, len(self.streams)):
            if self.rng.random() < self.late_share:
                stream = self.streams[number]
                sent_at = stream.began_at - self.late_ms
                self.streams[number] = replace(stream, began_at=sent_at)

    def begin_apart(self) -> None:
        """Let callers begin streams that wait for other times at each router."""
        for number, releases in enumerate((self.writer, self.other)):
            waits_ms = round(self.waits_ms[number] * self.rng.uniform(0.85, 1.0))
            self.begin_stream(releases, number, waits_ms)


def let_release_pass(world: World, replicas: int, gap_ms: int) -> None:
    """Let a release pass in which streams begin."""
    world.counts = {"v1": replicas}
    world.pass_time(QUIET_MS)
    world.begins = True
    for done in range(replicas - 2):
        for old in (replicas - done, replicas - done - 1):
            world.counts = {"v1": old, "v2": done + 1}
            world.pass_time(gap_ms // 2)


def resume_all(context, apart_ms: int = 0, late_share: float = 0.0, late_ms: int = 0) -> None:
    """Resume all streams at a router that remembers none."""
    world = context.world
    world.clock.advance(RESTART_MS)
    fresh = Releases(world.clock)
    fresh.apply(world.store.read())
    fresh.confirm(0)
    context.found = {
        stream: find_version(world, fresh, stream, apart_ms, late_share, late_ms)
        for stream in world.streams
        if world.clock.now() - stream.began_at < stream.waits_ms - JITTER_MS
    }
    assert context.found


def find_version(
    world: World,
    releases: Releases,
    stream: BegunStream,
    apart_ms: int,
    late_share: float,
    late_ms: int,
) -> SoftwareVersion | None:
    """Return where a stream may go on, `None` if that is not certain."""
    left_ms = stream.waits_ms - (world.clock.now() - stream.began_at)
    left_ms += world.rng.randint(-JITTER_MS, JITTER_MS)
    if world.rng.random() < late_share:
        left_ms += late_ms
    start = releases.spans.nominal_start(SERVICE, ROUTE, left_ms)
    if start is None:
        max_age_ms = releases.max_age_ms(SERVICE, TIMEOUT_MS, left_ms)
        versions = releases.began_at(SERVICE, stream.key, max_age_ms, apart_ms)
    else:
        versions = releases.began_nominally(SERVICE, stream.key, start, apart_ms)
    return next(iter(versions)) if versions and len(versions) == 1 else None


@given("two routers that know the span of a route, one of which learns of rows {delay:d} ms later")
def two_routers(context, delay):
    context.world = ReviewWorld(delay)
    context.world.pass_time(QUIET_MS)


@given(
    "two routers: callers of the one that reads the store wait for {reader:d} ms, others {other:d}"
)
def callers_differ(context, reader, other):
    context.world = ReviewWorld(100, waits_ms=(reader, other))
    context.world.pass_time(QUIET_MS)


@given("the store tells a time {late:d} ms ago while routers write and read its rows")
def store_tells_late(context, late):
    world = context.world
    world.store = LateStore(world.clock, world.store.era, stored=world.store.stored, late_ms=late)
    context.late_store = world.store


@when("they are resumed as the store tells the time, at one that remembers none")
def resumed_on_time(context):
    context.late_store.late_ms = 0
    resume_all(context)


@given("{share:d} in 100 {which} tries arrive {late:d} ms late")
def tries_arrive_late(context, share, which, late):
    context.late = (which, share / 100, late)
    if which == "first":
        context.world.late_share, context.world.late_ms = share / 100, late


@given("a release of {replicas:d} replicas, one each {gap:d} ms, in which streams nominally begin")
def release(context, replicas, gap):
    let_release_pass(context.world, replicas, gap)


@given("the span of the route is {change} in the last {lost:d} ms, of which the store keeps none")
def span_changes(context, change, lost):
    world, spans = context.world, {"raised": 2 * TIMEOUT_MS, "withdrawn": HOUR_MS}
    copied_at = world.clock.now() - 1
    world.longest_ms = 2 * TIMEOUT_MS if change == "raised" else TIMEOUT_MS
    world.writer.spans.seen.record(SERVICE, ROUTE, spans[change], TIMEOUT_MS)
    world.other.spans.seen.record(SERVICE, ROUTE, spans[change], TIMEOUT_MS)
    for old in (5, 4, 3):
        world.counts = {"v1": old, "v2": world.counts["v2"] + 1}
        world.pass_time(lost // 3)
    world.store.restore(world.clock.now() - copied_at)


@given("a router that hears nothing for {span:d} ms, in which the span of the route is {change}")
def router_apart(context, span, change):
    world = context.world
    context.apart_at = world.clock.now()
    world.other_hears = False
    if change == "raised":
        world.writer.spans.seen.record(SERVICE, ROUTE, 20_000, TIMEOUT_MS)
    let_release_pass(world, 9, span // 8)


@given("callers that wait for {longest:d} ms begin streams in a release, while the store {takes}")
def longer_callers(context, longest, takes):
    world = context.world
    world.begins = True
    for done in range(4):
        world.counts = {"v1": 8 - done, "v2": done + 1}
        world.pass_time(500)
    world.longest_ms, world.takes_writes = longest, takes == "takes writes"
    world.pass_time(2000)
    world.takes_writes, world.begins = True, False
    world.writer, world.other = Releases(world.clock), Releases(world.clock)
    for releases in (world.writer, world.other):
        releases.apply(world.store.read())
    world.longest_ms = TIMEOUT_MS
    world.counts = {"v1": 1, "v2": 8}
    world.pass_time(2000)


@when(
    "they are resumed at one that remembers none, {share:d} in 100 of these tries {late:d} ms late"
)
def resumed_late(context, share, late):
    resume_all(context, late_share=share / 100, late_ms=late)


@when("they are resumed at one that remembers none")
def resumed(context):
    resume_all(context)


@when("they are resumed at one that remembers none, and knows since when the router was apart")
def resumed_apart(context):
    resume_all(context, apart_ms=context.world.clock.now() + RESTART_MS - context.apart_at)


@then("no stream goes on at another version")
def none_elsewhere(context):
    wrong = [item for item, version in context.found.items() if version not in (None, item.version)]
    going = sum(version is not None for version in context.found.values())
    assert not wrong, f"{len(wrong)} of {len(context.found)}; {going} go on"


@given('the steps "{steps}", and all that was in force "{whole}"')
def steps_with_gap(context, steps, whole):
    context.steps = tuple(map(parse_step, steps.split()))
    context.whole = tuple(map(parse_step, whole.split()))


@when("streams that nominally began {age:d} ms ago began {begun:d} ms ago, and are resumed")
def begun_in_gap(context, age, begun):
    keys = [f"k{number}" for number in range(100)]
    known = [step for step in context.whole if step.age_ms >= begun]
    context.joined = 0
    for key in keys:
        version = version_at([step.aged(-begun) for step in known], key, age - begun)
        found = versions_at(context.steps, key, age)
        context.joined += found is not None and found != {version} and len(found) == 1


@then("none of them goes on at another version")
def none_joined(context):
    assert context.joined == 0, f"{context.joined} of 100"


@given("two routers whose callers wait for {first} and {second} ms of {timeout:d}")
def routers_that_differ(context, first, second, timeout):
    context.timeout_ms = timeout
    context.clock = ManualClock(1_000_000)
    world = World(0, context.clock)
    context.store = world.store
    context.routers = [Releases(context.clock), Releases(context.clock)]
    context.waits = [[int(item) for item in text.split("+")] for text in (first, second)]


@when("{span:d} ms pass in which no replica joins or leaves")
def quiet_time(context, span):
    clock, store, routers = context.clock, context.store, context.routers
    end, written, tick = clock.now() + span, [-HOUR_MS, -HOUR_MS], 0
    while clock.now() < end:
        for number, (releases, waits) in enumerate(zip(routers, context.waits, strict=True)):
            # The last one is that of a single caller, if there are several.
            wait_ms = waits[-1] if tick == 40 else waits[0]
            releases.spans.seen.record(SERVICE, ROUTE, wait_ms, context.timeout_ms)
            if store.stored:
                releases.apply(store.read())
            releases.confirm(0)
            report = releases.next_report(SERVICE, {"v1": 3})
            if report is None and clock.now() - written[number] >= 1000:
                report = releases.nominal_report(SERVICE)
                written[number] = clock.now() if report else written[number]
            if report is not None:
                releases.apply(store.write(report))
        clock.advance(150)
        tick += 1


@then("the row is written {most:d} times at most")
def rows_written(context, most):
    assert len(context.store.stored) <= most, len(context.store.stored)


@given("{share:d} in 100 callers begin their streams anew {later:d} ms after a first try")
def callers_begin_anew(context, share, later):
    context.anew = (share / 100, later)


@when("replicas are replaced one each {gap:d} ms, of {replicas:d}")
def count_loads(context, gap, replicas):
    world, context.loads = context.world, []
    world.begin = lambda: context.loads.append(begin_and_count(context))
    for done in range(replicas):
        for old in (replicas - done, replicas - done - 1):
            world.counts = {"v1": old, "v2": done + 1} if old else {"v2": done + 1}
            world.pass_time(gap // 2)


def begin_and_count(context) -> tuple[int, dict[str, float]]:
    """Return the time, and how many streams each version's replicas get, by the mean of all."""
    world, (share, later_ms) = context.world, context.anew
    begun = Counter()
    for number in range(STREAMS_PER_TICK):
        waits_ms = TIMEOUT_MS - later_ms * (world.rng.random() < share)
        key = f"k{world.clock.now()}-{number}"
        world.writer.spans.seen.record(SERVICE, ROUTE, waits_ms, TIMEOUT_MS)
        age_ms = world.writer.spans.nominal_age_ms(SERVICE, ROUTE, waits_ms)
        begun[world.writer.assigned_version(SERVICE, key, age_ms)] += 1
    mean = STREAMS_PER_TICK / sum(world.counts.values())
    shares = {version: begun[version] / count / mean for version, count in world.counts.items()}
    return world.clock.now(), shares


@then("no version's replicas get more than {most:g} times the mean within {span:d} ms")
def bounded_loads(context, most, span):
    found = []
    for start, _ in context.loads:
        window = [shares for now, shares in context.loads if start <= now < start + span]
        for version in {item for shares in window for item in shares}:
            present = [shares[version] for shares in window if version in shares]
            # One that is there for all of the time.
            if len(present) == len(window) and start + span <= context.loads[-1][0]:
                found.append(sum(present) / len(present))
    assert max(found) <= most, f"{max(found):.2f}"
