"""Steps for histories of software versions that are merged, or were lost with the store's rows."""

import json
from collections.abc import Sequence
from dataclasses import dataclass, replace

from behave import given, then, when
from hypothesis import given as given_random
from hypothesis import settings, strategies

from features.release_fixtures import (
    LONGEST_MS,
    SERVICE,
    RowOfService,
    gossip_of_releases,
    parse_steps,
    parse_weights,
)
from skylarklift.clock import ManualClock, Millis
from skylarklift.entry.gossip.wire import decode_gossip, encode_gossip
from skylarklift.entry.model import UpstreamRecord
from skylarklift.entry.versions.release_members import digest_members
from skylarklift.entry.versions.release_steps import (
    ReleaseStep,
    VersionWeight,
    bound_steps,
    join_steps,
    pick_version,
    possible_versions,
    unknown_step,
)
from skylarklift.entry.versions.release_sync import CHECK_INTERVAL_MS
from skylarklift.entry.versions.releases import ENTRIES_SETTLE_MS, Releases
from skylarklift.ids import SoftwareVersion

KEYS_PER_STEP = 20
QUIET_MS = 5000
# A router reads the rows this long after the store is back, and then writes one.
READ_DELAY_MS = 200
WRITE_DELAY_MS = 300
STANDSTILL_MS = 10_000
# The streams that begin after the store was restored.
LATER_MS = 15_000
LATER_STEP_MS = 500


@dataclass(frozen=True)
class BegunStream:
    """A stream: its prompt, when it began, at which version, and under which proportions."""

    key: str
    began_at: Millis
    version: SoftwareVersion
    step: int


def write_counts(context, releases, counts, members=None):
    """Let a router that follows the store write the proportions, if they have changed."""
    releases.confirm(0)
    report = releases.next_report(SERVICE, counts, members)
    if report is not None:
        releases.apply(context.store.write(report))
        context.history.append(weights_of(counts))


def weights_of(counts) -> tuple[VersionWeight, ...]:
    """Return the proportions of numbers of replicas."""
    return tuple(VersionWeight(version, count) for version, count in sorted(counts.items()))


def begin_streams(context, label):
    """Let streams of different prompts begin, by the newest proportions."""
    step = len(context.history) - 1
    for number in range(KEYS_PER_STEP):
        key = f"k{label}-{number}"
        version = context.releases.assigned_version(SERVICE, key)
        context.streams.append(BegunStream(key, context.clock.now(), version, step))


@given("a release of {replicas:d} replicas, one each {gap:d} ms, in which streams begin")
def release(context, replicas, gap):
    context.clock = ManualClock(1_000_000)
    context.store = RowOfService(context.clock)
    context.releases = Releases(context.clock)
    context.streams, context.history = [], []
    write_counts(context, context.releases, {"v1": replicas})
    context.clock.advance(QUIET_MS)
    for done in range(replicas - 2):
        for old in (replicas - done, replicas - done - 1):
            begin_streams(context, f"{done}-{old}")
            context.counts = {"v1": old, "v2": done + 1}
            write_counts(context, context.releases, context.counts)
            context.clock.advance(gap // 2)


@given("the store comes back from a copy of {lost:d} ms while {known}")
def store_comes_back(context, lost, known):
    survivor, fresh = context.releases, Releases(context.clock)
    context.store.restore(lost)
    if known == "the routers live on after a standstill":
        context.clock.advance(STANDSTILL_MS)
    context.clock.advance(READ_DELAY_MS)
    survivor.apply(context.store.read())
    context.releases = fresh if known == "all routers start anew" else survivor
    context.releases.apply(context.store.read())
    write_counts(context, context.releases, context.counts)
    context.clock.advance(WRITE_DELAY_MS)
    if known == "a router that knew of it writes the row":
        fresh.apply(context.store.read())
        fresh.confirm(0)
        context.releases = fresh


@when("streams begin for 15 s, and are resumed at a router that remembers none")
def later_streams(context):
    context.streams = []
    for number in range(LATER_MS // LATER_STEP_MS):
        context.clock.advance(LATER_STEP_MS)
        begin_streams(context, f"later-{number}")
    resume_all(context)


@when("the streams of the last 15 s are resumed at a router that remembers none")
def resume_all(context):
    """Find where each stream may go on, by the proportions alone."""
    context.found = {
        stream: find_version(context, stream)
        for stream in context.streams
        if context.clock.now() - stream.began_at <= LONGEST_MS
    }
    assert context.found


def find_version(context, stream: BegunStream) -> SoftwareVersion | None:
    """Return where a stream may go on, `None` if that is not certain."""
    age_ms = context.clock.now() - stream.began_at
    versions = context.releases.began_at(SERVICE, stream.key, age_ms)
    return next(iter(versions)) if versions and len(versions) == 1 else None


@then("none goes on at another version")
def none_elsewhere(context):
    wrong = [item for item, version in context.found.items() if version not in (None, item.version)]
    assert not wrong, f"{len(wrong)} of {len(context.found)}"


@then("none goes on")
def none_goes_on(context):
    assert not any(context.found.values()), sum(map(bool, context.found.values()))


@then("at least half of those that never moved go on")
def half_go_on(context):
    unmoved = [item for item in context.found if never_moved(context.history, item)]
    going = [item for item in unmoved if context.found[item] is not None]
    assert unmoved
    assert 2 * len(going) >= len(unmoved), f"{len(going)} of {len(unmoved)}"


def never_moved(history: Sequence[tuple[VersionWeight, ...]], stream: BegunStream) -> bool:
    """Return whether all proportions since a stream began give its prompt to one version."""
    return all(pick_version(stream.key, step) == stream.version for step in history[stream.step :])


@then("the row in the store holds at most {most:d} proportions")
def row_is_bounded(context, most):
    for row in context.store.stored:
        count = len(json.loads(row.data)["steps"])
        assert count <= most, count


# The processes of replicas, by the fields in which they differ from those of the copy.
ENTRIES = {
    "the replicas are the same": {},
    "it is the second time": {},
    "a replica has started anew": {"r1": {"started_ms": 2}},
    "a replica starts anew a second later": {},
    "a replica is missing": {"r1": None},
    "the replicas name no starts": {},
    "another version has joined": {"r9": {"software": "v2"}},
}


def make_members(starts, changes):
    """Return the digest of three replicas with changes, and of those that the changes add."""
    names = sorted({"r0", "r1", "r2", *changes})
    records = [
        UpstreamRecord(
            name, SERVICE, "10.0.0.1", 9000, "za", 8, False, 0, started_ms=starts, software="v1"
        )
        for name in names
        if changes.get(name, {}) is not None
    ]
    return digest_members(replace(item, **changes.get(item.replica, {})) for item in records)


@given('a service of "{replicas}" for 20 s, in which streams begin')
def service_of(context, replicas):
    one_version(context, {item.version: item.weight for item in parse_weights(replicas)})


@then('those of "{version}" go on, and no others')
def only_those_go_on(context, version):
    going = {item.version for item, found in context.found.items() if found}
    assert going == {version} - {"none"}, going
    begun = [found for item, found in context.found.items() if item.version == version]
    assert all(begun), sum(map(bool, begun))


@given("a service of one version for 20 s, in which streams begin")
def one_version(context, counts=None):
    context.clock = ManualClock(1_000_000)
    context.store = RowOfService(context.clock)
    context.releases = Releases(context.clock)
    context.streams, context.history = [], []
    context.counts = counts or {"v1": 3}
    context.starts = 1
    for number in range(20_000 // LATER_STEP_MS):
        write_counts(context, context.releases, context.counts, make_members(1, {}))
        begin_streams(context, number)
        context.clock.advance(LATER_STEP_MS)


@given("a replica of another version that serves for {span:d} ms")
def short_lived_replica(context, span):
    members = make_members(1, {"r9": {"software": "v2"}})
    for number in range(span // LATER_STEP_MS):
        write_counts(context, context.releases, {**context.counts, "v2": 1}, members)
        begin_streams(context, f"short-{number}")
        context.clock.advance(LATER_STEP_MS)


@given("all routers start anew with a store of {lost:d} ms before, and {entries}")
def store_and_entries_come_back(context, lost, entries):
    if entries == "it is the second time":
        restore_long_before(context)
    context.store.restore(lost)
    context.clock.advance(READ_DELAY_MS)
    context.releases = Releases(context.clock)
    context.other = Releases(context.clock)
    context.other.apply(context.store.read())
    # The router that will write the row hears of it by gossip first.
    told = decode_gossip(encode_gossip(gossip_of_releases(*context.other.reports())))
    context.releases.apply(told.releases[0])
    context.releases.apply(context.store.read())
    context.entries = entries
    context.starts = {"the replicas name no starts": 0, "it is the second time": 2}.get(entries, 1)
    if entries == "another version has joined":
        context.counts = {"v1": 3, "v2": 1}
    settle(context, ENTRIES[entries])


def restore_long_before(context):
    """Let another restore go before, after which the history was not known for a while."""
    context.store.restore(0)
    context.releases = Releases(context.clock)
    context.releases.apply(context.store.read())
    for _ in range(40_000 // LATER_STEP_MS):
        write_counts(context, context.releases, context.counts, make_members(2, {}))
        begin_streams(context, f"before-{context.clock.now()}")
        context.clock.advance(LATER_STEP_MS)


def settle(context, changes, span_ms=WRITE_DELAY_MS):
    """Let a router look at the entries for a while, and write the row when it is due."""
    for _ in range(span_ms // CHECK_INTERVAL_MS):
        context.clock.advance(CHECK_INTERVAL_MS)
        members = make_members(context.starts, changes)
        write_counts(context, context.releases, context.counts, members)
        context.other.confirm(0)
        context.other.apply(context.store.read())


@then("none goes on, to come back when the entries are written again: {back}")
def refused_early(context, back):
    assert not any(context.found.values())
    assert (context.releases.settles_in_ms(SERVICE) is not None) == (back == "yes")


@when("the entries have settled, and the streams are resumed again")
def resumed_again(context):
    changes = ENTRIES[context.entries]
    if context.entries == "a replica starts anew a second later":
        settle(context, {}, 1000)
        changes = ENTRIES["a replica has started anew"]
    settle(context, changes, ENTRIES_SETTLE_MS)
    # Another router, which heard of the copy, too.
    context.releases = context.other
    resume_all(context)


@then("all go on")
def all_go_on(context):
    assert all(context.found.values()), sum(map(bool, context.found.values()))


@when("the row is read")
@when("the row is read as one of a copy")
def row_is_read(context):
    if "copy" in context.scenario.name:
        context.store.restore(0)
    context.releases = Releases(context.clock)
    context.releases.apply(context.store.read())


@then("new streams begin by the proportions that were written last")
def begin_by_last(context):
    keys = [f"n{number}" for number in range(1000)]
    begun = {key: context.releases.assigned_version(SERVICE, key) for key in keys}
    assert begun == {key: pick_version(key, context.history[-1]) for key in keys}


@given('the history "{steps}" that a router has followed for {span:d} ms')
def followed_history(context, steps, span):
    context.known, context.span_ms = parse_steps(steps), span


@when('it joins the row "{row}"')
def join_row(context, row):
    gap, last = row.split("= ")
    steps = (unknown_step(int(gap) * 1000), *parse_steps(last))
    context.joined = join_steps(context.known, steps, context.span_ms, is_newest=True)


@then('the joined history is "{steps}"')
def joined_history(context, steps):
    assert context.joined == parse_steps(steps), context.joined


@given(
    "the store comes back from a copy of {lost:d} ms, by which a router that starts begins streams"
)
def begin_by_copy(context, lost):
    context.survivor, context.fresh = context.releases, Releases(context.clock)
    context.store.restore(lost)
    context.clock.advance(READ_DELAY_MS)
    context.fresh.apply(context.store.read())
    context.releases = context.fresh


@given("{writer} writes the row {later:d} ms later")
def written_later(context, writer, later):
    for number in range(later // CHECK_INTERVAL_MS):
        begin_streams(context, f"copy-{number}")
        context.clock.advance(CHECK_INTERVAL_MS)
    wrote = context.survivor if writer == "the router that lived on" else context.fresh
    for releases in (context.fresh, context.survivor):
        releases.apply(context.store.read())
    write_counts(context, wrote, context.counts)
    for releases in (context.fresh, context.survivor):
        releases.apply(context.store.read())


@when("the streams of the last 15 s are resumed {later:d} ms later at a router that lived on")
def resumed_at_survivor(context, later):
    context.clock.advance(later)
    context.releases = context.survivor
    resume_all(context)


RANDOM_KEYS = [f"r{number}" for number in range(20)]
RANDOM_AGES_MS = (0, 500, 1500, 4000, 15_000, 60_000)
RANDOM_WEIGHTS = strategies.dictionaries(
    strategies.sampled_from(["v1", "v2", "v3", "v4"]), strategies.integers(0, 6), min_size=1
).filter(lambda weights: any(weights.values()))
RANDOM_GAPS_MS = strategies.integers(0, 3000)


def add_steps(changes):
    """Return a whole history, and the one that is bounded at each step."""
    whole, bounded = (), ()
    for gap_ms, counts in changes:
        step = ReleaseStep(0, weights_of(counts))
        whole = (*age_steps(whole, gap_ms), step)
        bounded = bound_steps((*age_steps(bounded, gap_ms), step))
    return whole, bounded


def age_steps(steps, span_ms):
    """Return steps as they are a while later."""
    return tuple(replace(step, age_ms=step.age_ms + span_ms) for step in steps)


@when("{count:d} random histories of {least:d} to {most:d} steps are bounded")
def bound_random(context, count, least, most):
    context.histories = []
    changes = strategies.lists(
        strategies.tuples(RANDOM_GAPS_MS, RANDOM_WEIGHTS), min_size=least, max_size=most
    )

    @settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @given_random(changes)
    def collect(found):
        context.histories.append(add_steps(found))

    collect()
    assert all(len(whole) > len(bounded) for whole, bounded in context.histories)


@then(
    "each holds at most {most:d} proportions, ends with those in force, and admits all versions "
    "that the whole one does"
)
def admits_all(context, most):
    for whole, bounded in context.histories:
        assert len(bounded) <= most and bounded[-1] == whole[-1]
        for key in RANDOM_KEYS:
            for age_ms in RANDOM_AGES_MS:
                found = possible_versions(bounded, key, age_ms)
                assert found is None or found >= possible_versions(whole, key, age_ms), (key, whole)
