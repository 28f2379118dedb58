"""Steps for versions that have no replicas while the store takes no writes."""

import json
from collections.abc import Callable
from dataclasses import replace

import trio
from behave import given, then, when
from trio.testing import MockClock

from features.entry_fixtures import apply_rows, core_with_replicas
from features.release_fixtures import REQUEST, SERVICE, RowOfService, entry
from skylarklift.clock import MS_PER_SECOND, LoopClock, ManualClock
from skylarklift.entry.gossip.membership import Membership
from skylarklift.entry.state.rows import MemberStore, ReleaseStore, RowTable
from skylarklift.entry.versions.absences import VersionAbsences
from skylarklift.entry.versions.release_steps import ReleaseStep, VersionWeight, pick_version
from skylarklift.entry.versions.release_sync import ReleaseSync
from skylarklift.entry.versions.resumptions import ResumedStream
from skylarklift.errors import StoreUnavailable

CONFIRM_INTERVAL_S = 0.5
QUIET_S = 5
# The streams began this long after their version was gone.
BEGUN_AFTER_S = 1.5
# The store takes writes again this long after the version is back.
REFUSES_ON_S = 2
WRITTEN_AFTER_S = 1.5
READ_AFTER_S = 0.5
# Streams begin again as usual this long after the new router has started.
LATER_S = 20
BEGUN_LATELY_MS = 5000
START_MS = 100_000
AGAIN_AFTER_MS = 200
WEIGHTS = (VersionWeight("v1", 1), VersionWeight("v2", 3))


class RefusingStore(ReleaseStore):
    """A store of one row on software versions, which may refuse writes."""

    def __init__(self, clock):
        self.row = RowOfService(clock)
        self.refuses = False

    async def read_releases(self):
        return [self.row.read()] if self.row.stored else []

    async def write_release(self, report):
        if self.refuses:
            raise StoreUnavailable("status 503")
        return self.row.write(report)

    def drop_field(self, name):
        """Take a field out of the row, as a router of an earlier release does that writes it."""
        last = self.row.stored[-1]
        value = json.loads(last.data)
        del value[name]
        self.row.stored[-1] = replace(last, data=json.dumps(value).encode())


def make_core(clock, rows):
    """Return the core of a router that reads the store and knows these replicas."""
    core = core_with_replicas(0, clock)
    apply_rows(core, RowTable.UPSTREAMS, 1, rows, complete=True)
    core.reading_store = dict.fromkeys(RowTable, True)
    return core


async def confirm_tables(core):
    """Let a router confirm that it has all rows, as its calls of the store do."""
    while True:
        for table in RowTable:
            core.cluster_state.confirm_version(table, core.cluster_state.caches[table].version)
        await trio.sleep(CONFIRM_INTERVAL_S)


class RefusingMembers(MemberStore):
    """The registry of routers in the same store."""

    def __init__(self, store):
        self._store = store

    async def read_members(self):
        return {}

    async def write_member(self, node, address):
        if self._store.refuses:
            raise StoreUnavailable("status 503")


def start_router(nursery, clock, store, rows, *, is_new=False):
    """Start what a router has to do with the rows, and return its core.

    One that is new may take no row for right.
    """
    core = make_core(clock, rows)
    nursery.start_soon(confirm_tables, core)
    if is_new:
        core.expect_judgement()
        nursery.start_soon(Membership(core, RefusingMembers(store)).run)
    nursery.start_soon(ReleaseSync(core, store).run)
    return core


def play(run: Callable) -> None:
    """Run a coroutine function in virtual time, with the clock and a nursery that ends with it."""

    async def run_all():
        async with trio.open_nursery() as nursery:
            await run(LoopClock(), nursery)
            nursery.cancel_scope.cancel()

    trio.run(run_all, clock=MockClock(autojump_threshold=0))


async def take_up(context, core, began_at):
    """Resume a stream of a prompt of each version at a router that remembers none."""
    context.found = {}
    for version in sorted({json.loads(row)["version"] for row in context.rows.values()}):
        key = next(f"s{n}" for n in range(100) if pick_version(f"s{n}", WEIGHTS) == version)
        age_ms = core.clock.now() - began_at
        context.found[version] = await core.resumptions.find(
            ResumedStream(REQUEST, SERVICE, key, age_ms)
        )


@given('a router that follows 1 replica of "v1" and 3 of "v2"')
def router_of_replicas(context):
    context.rows = {f"r{n}": entry(1, version="v2" if n else "v1") for n in range(4)}


@given('a router that follows 1 replica of "v1"')
def router_of_one_replica(context):
    context.rows = {"r0": entry(1, version="v1")}


# The replicas that have other processes as the new router starts, and those that have joined.
CHANGES = {
    "another process of v1 serves": {"r0": "v1"},
    "the same process of v1 serves": {},
    "other processes of both serve": {"r0": "v1", "r1": "v2", "r2": "v2", "r3": "v2"},
    "one process of v2 is another": {"r3": "v2"},
    "a second process of v1 has joined": {"r4": "v1"},
    "its row is of an earlier release": {"r0": "v1"},
}


@when("it is killed, and another one starts {when}, and {case}")
def another_starts(context, when, case):
    changed = {name: entry(1, version=item, born=2) for name, item in CHANGES[case].items()}

    async def run(clock, nursery):
        store = RefusingStore(clock)
        with trio.move_on_after(QUIET_S):
            async with trio.open_nursery() as first:
                start_router(first, clock, store, context.rows)
        if case == "its row is of an earlier release":
            store.drop_field("processes")
        store.refuses = when != "while the store takes writes"
        began_at = clock.now()
        await trio.sleep(REFUSES_ON_S)
        core = start_router(nursery, clock, store, context.rows | changed, is_new=True)
        await trio.sleep(READ_AFTER_S)
        if when.startswith("then and again"):
            # A router that starts then finds what the one before it has written.
            store.refuses = False
            await trio.sleep(WRITTEN_AFTER_S)
            core = start_router(nursery, clock, store, context.rows | changed, is_new=True)
            await trio.sleep(READ_AFTER_S)
        await take_up(context, core, began_at)
        context.before = context.found
        store.refuses = False
        await trio.sleep(LATER_S)
        await take_up(context, core, clock.now() - BEGUN_LATELY_MS)

    play(run)


@then('the new one takes up streams of before at "{before}", and later ones at "{since}"')
def taken_up_at(context, before, since):
    for found, versions in ((context.before, before), (context.found, since)):
        going = {item for item, origin in found.items() if origin.version is not None}
        assert going == set(versions.split()) - {"none"}, found
        assert all(origin.version in (None, item) for item, origin in found.items()), found


@when(
    'the store takes no writes, and "v1" is gone for {gone:d} ms, and {which} process of it is back'
)
def version_gone(context, gone, which):
    context.gone_ms, context.back = gone, entry(1, version="v1", born=1 + (which == "another"))


@when("a stream of each version's prompts is resumed that began meanwhile, at {router}")
def resumed_after_absence(context, router):
    async def run(clock, nursery):
        store = RefusingStore(clock)
        core = start_router(nursery, clock, store, context.rows)
        await trio.sleep(QUIET_S)
        store.refuses = True
        apply_rows(core, RowTable.UPSTREAMS, 2, {"r0": None})
        await trio.sleep(BEGUN_AFTER_S)
        began_at = clock.now()
        await trio.sleep(context.gone_ms / MS_PER_SECOND - BEGUN_AFTER_S)
        apply_rows(core, RowTable.UPSTREAMS, 3, {"r0": context.back})
        await trio.sleep(REFUSES_ON_S)
        if router.startswith("a new router"):
            store.refuses = False
            await trio.sleep(WRITTEN_AFTER_S)
            rows = {**context.rows, "r0": context.back}
            core = start_router(nursery, clock, store, rows)
            await trio.sleep(READ_AFTER_S)
        await take_up(context, core, began_at)

    play(run)


@when('the store takes no writes, and "v1" is gone and back {times:d} times in {span:d} s')
def version_gone_often(context, times, span):
    context.times, context.span_s = times, span


@when("the store takes writes for {span:d} s")
def store_takes_writes(context, span):
    async def run(clock, nursery):
        store = context.store = RefusingStore(clock)
        core = start_router(nursery, clock, store, context.rows)
        await trio.sleep(QUIET_S)
        store.refuses = True
        store.row.stored = store.row.stored[-1:]
        began_at = clock.now()
        for number in range(context.times):
            for version, row in ((2, None), (3, context.rows["r0"])):
                apply_rows(core, RowTable.UPSTREAMS, 2 * number + version, {"r0": row})
                await trio.sleep(context.span_s / context.times / 2)
        store.refuses = False
        await trio.sleep(span)
        core = start_router(nursery, clock, store, context.rows)
        await trio.sleep(READ_AFTER_S)
        await take_up(context, core, began_at)

    play(run)


@then("the row is written at most {writes:d} times, with at most {steps:d} steps")
def row_is_bounded(context, writes, steps):
    # The first one was written before.
    written = context.store.row.stored[1:]
    assert 1 <= len(written) <= writes, len(written)
    assert all(len(json.loads(row.data)["steps"]) <= steps for row in written)


@then('a stream of a prompt of "v1" that began meanwhile is refused by a new router')
def refused_by_new_router(context):
    assert context.found["v1"].version is None, context.found


@then('that of "v1" is refused, and that of "v2" goes on')
def only_other_goes_on(context):
    found = {version: origin.version for version, origin in context.found.items()}
    assert found == {"v1": None, "v2": "v2"}, context.found


@given(
    '"v1" was gone for {span:d} ms, and is doubted from {before:d} ms before until {after:d} ms '
    "after that"
)
def gone_and_doubted(context, span, before, after):
    context.clock = ManualClock(START_MS)
    context.absences = VersionAbsences(context.clock)
    gone_and_back(context, span)
    context.clock.advance(after)
    context.doubted_until = context.clock.now()
    doubted_ms = before + span + after
    context.absences.record_past(SERVICE, frozenset({"v1"}), WEIGHTS[1:], doubted_ms)


def gone_and_back(context, span):
    """Let the version have no replicas for a time."""
    step = ReleaseStep(0, WEIGHTS)
    context.absences.record(SERVICE, step, {"v2": 3})
    context.clock.advance(span)
    context.absences.record(SERVICE, step, {"v1": 1, "v2": 3})


@when('"v1" is gone and back {count:d} times more')
def gone_again(context, count):
    for _ in range(count):
        context.clock.advance(AGAIN_AFTER_MS)
        gone_and_back(context, AGAIN_AFTER_MS)


@then("{count:d} absences are kept, and the earliest one lasts as long as the doubt")
def doubt_is_kept(context, count):
    found = context.absences.of(SERVICE)
    assert len(found) == count, found
    assert found[0].ended_at >= context.doubted_until, found
