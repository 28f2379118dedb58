"""Steps for streams whose proportions change with a write that the store performs late."""

from dataclasses import dataclass, field

import trio
from behave import then, when
from trio.testing import MockClock

from features.entry_fixtures import apply_rows, core_with_replicas, new_call, plan_data
from features.release_fixtures import LONGEST_MS, SERVICE, entry
from skylarklift.clock import MS_PER_SECOND, LoopClock, Millis
from skylarklift.entry.core import Core
from skylarklift.entry.placement.affinity import affinity_key
from skylarklift.entry.state.rows import FIRST_ERA, ReleaseStore, RowTable
from skylarklift.entry.versions.release_rows import ReleaseReport, decode_report, encode_report
from skylarklift.entry.versions.release_steps import ReleaseStep, VersionWeight, pick_version
from skylarklift.entry.versions.release_sync import CHECK_INTERVAL_MS, ReleaseSync
from skylarklift.entry.versions.stream_version import StreamVersion
from skylarklift.errors import Refusal, StoreAnswerLost
from skylarklift.ids import SoftwareVersion

REPLICAS = 3
# Rows, gossip and callers' waiting times are known by then.
BEFORE_MS = 30_000
STREAM_INTERVAL_MS = 50
# A stream begins between two exchanges of the routers, too.
GOSSIP_DELAY_MS = 20
RESTART_MS = 300
PROMPTS = 40
PROPORTIONS = (
    (VersionWeight(SoftwareVersion("v1"), 3),),
    (VersionWeight(SoftwareVersion("v1"), 2), VersionWeight(SoftwareVersion("v2"), 1)),
)


@dataclass
class LateStore(ReleaseStore):
    """A store of one row that performs writes `late_ms` after their calls, if that is not 0.

    Its answers to reads take `read_ms`.
    """

    nursery: trio.Nursery
    clock: LoopClock
    late_ms: int = 0
    read_ms: int = 0
    version: int = 0
    data: bytes = b""
    performed_at: list[Millis] = field(default_factory=list)

    async def read_releases(self) -> list[ReleaseReport]:
        """Return the row, if there is one."""
        await trio.sleep(self.read_ms / MS_PER_SECOND)
        now = self.clock.now()
        if not self.version:
            return []
        return [decode_report(SERVICE, self.version, self.data, now, FIRST_ERA)]

    async def write_release(self, report: ReleaseReport) -> ReleaseReport:
        """Write the row if its version is still the one named; fail if that is done later."""
        data = encode_report(report, self.clock.now())
        if self.late_ms:
            self.nursery.start_soon(self._perform_later, report.row_version, data)
            raise StoreAnswerLost("no answer")
        self._perform(report.row_version, data)
        return (await self.read_releases())[0]

    async def _perform_later(self, expected: int, data: bytes) -> None:
        """Write the row after a while."""
        await trio.sleep(self.late_ms / MS_PER_SECOND)
        self._perform(expected, data)

    def _perform(self, expected: int, data: bytes) -> None:
        """Write the row if it has the version that is expected."""
        if expected == self.version:
            self.version, self.data = self.version + 1, data
            self.performed_at.append(self.clock.now())


@dataclass(frozen=True)
class CallersStream:
    """A stream that a caller has begun, and at which version."""

    name: str
    began_at: Millis
    deadline_ms: int
    version: SoftwareVersion

    @property
    def parts(self) -> str:
        """Return its prompt."""
        return f"shared-{self.name}:10,own-{self.name}:1"


def start_router(clock: LoopClock, replicas: int) -> Core:
    """Return the core of a router that reads the store, and knows so many replicas of v2."""
    core = core_with_replicas(REPLICAS, clock)
    routes = [{"timeout_ms": LONGEST_MS}]
    apply_rows(core, RowTable.OPERATOR, 2, {"config": plan_data(2, routes)}, complete=True)
    core.reading_store = dict.fromkeys(RowTable, True)
    release_replicas(core, replicas)
    return core


def release_replicas(core: Core, replicas: int) -> None:
    """Let the entries name so many replicas of v2."""
    rows = {f"r{number}": entry(number, version="v2") for number in range(replicas)}
    apply_rows(core, RowTable.UPSTREAMS, 3, rows)


def tell(core: Core, other: Core) -> None:
    """Let a router hear by gossip what another one knows."""
    for report in core.releases.reports():
        other.apply_release(report, "n0")
    age_ms = core.releases.age_ms()
    if age_ms is not None:
        other.releases.confirm(age_ms)


async def find_version(core: Core, call) -> SoftwareVersion | None:
    """Return the version at which a router begins a stream, or lets it go on."""
    stream = StreamVersion(core, call, core.cluster_state.plan.route("app.example", "/chat/x"))
    try:
        await stream.find(SERVICE)
    except Refusal:
        return None
    return stream.required or stream.assigned


async def begin_stream(core: Core, name: str, deadline_ms: int) -> CallersStream:
    """Return a stream that a caller begins at a router."""
    now = core.clock.now()
    stream = CallersStream(name, now, deadline_ms, SoftwareVersion(""))
    call = new_call(stream.parts, name, deadline_ms)
    call.received_at = now
    return CallersStream(name, now, deadline_ms, await find_version(core, call))


async def resume_stream(core: Core, stream: CallersStream) -> SoftwareVersion | None:
    """Return where a stream goes on at a router that does not remember it."""
    now = core.clock.now()
    left_ms = stream.deadline_ms and stream.deadline_ms - (now - stream.began_at)
    call = new_call(stream.parts, f"{stream.name}-again", left_ms)
    call.received_at, call.resume_after, call.resumes = now, 2, stream.name
    return await find_version(core, call)


async def begin_streams(context, cores, span_ms: int) -> None:
    """Let streams begin at routers in turn for a while, of which the first tells the others."""
    for elapsed_ms in range(0, span_ms, STREAM_INTERVAL_MS):
        for core in cores:
            deadline_ms = context.deadlines_ms[len(context.streams) % len(context.deadlines_ms)]
            name = f"q{len(context.streams)}"
            context.streams.append(await begin_stream(core, name, deadline_ms))
        await trio.sleep(GOSSIP_DELAY_MS / MS_PER_SECOND)
        if elapsed_ms % CHECK_INTERVAL_MS == 0:
            tell(*cores)
        await trio.sleep((STREAM_INTERVAL_MS - GOSSIP_DELAY_MS) / MS_PER_SECOND)


async def play_release(context, late_ms: int, lived_ms: int) -> None:
    """Begin streams before and during a release, and resume them after all routers are lost."""
    clock = LoopClock()
    context.streams = []
    async with trio.open_nursery() as nursery:
        store = LateStore(nursery, clock)
        cores = [start_router(clock, 0), start_router(clock, 0)]
        async with trio.open_nursery() as routers:
            routers.start_soon(ReleaseSync(cores[0], store).run)
            await trio.sleep(1)
            tell(*cores)
            await begin_streams(context, cores, BEFORE_MS)
            assert all(item.version == "v1" for item in context.streams)
            store.late_ms = late_ms
            for core in cores:
                release_replicas(core, 1)
            await begin_streams(context, cores, lived_ms)
            routers.cancel_scope.cancel()
        store.late_ms = 0
        await trio.sleep(RESTART_MS / MS_PER_SECOND)
        await resume_streams(context, start_router(clock, 1), store)
        nursery.cancel_scope.cancel()


async def resume_streams(context, core: Core, store: LateStore) -> None:
    """Resume all streams at a router that has just started, each as soon as it is ready."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ReleaseSync(core, store).run)
        await core.releases_read.wait()
        await trio.sleep(2 * CHECK_INTERVAL_MS / MS_PER_SECOND)
        now, context.log_lines = core.clock.now(), core.event_log.lines
        context.found = {
            stream: await resume_stream(core, stream)
            for stream in context.streams
            if now - stream.began_at < LONGEST_MS
        }
        nursery.cancel_scope.cancel()


# What callers name, in turn, with the first try of a stream.
CALLERS_DEADLINES_MS = {
    "who name a deadline": (LONGEST_MS,),
    "who name none": (0,),
    "of whom half name a deadline": (LONGEST_MS, 0, 0, LONGEST_MS),
}


@when(
    "the write of a release's step is performed {late:d} ms late, and all routers start anew "
    "{lived:d} ms after its call, beside callers {callers}"
)
def release_late(context, late, lived, callers):
    context.deadlines_ms = CALLERS_DEADLINES_MS[callers]
    trio.run(play_release, context, late, lived, clock=MockClock(autojump_threshold=0))


@then("no stream of these callers goes on at another version")
def none_elsewhere(context):
    assert context.found
    wrong = [item for item, version in context.found.items() if version not in (None, item.version)]
    assert not wrong, f"{len(wrong)} of {len(context.found)}, the first: {wrong[0]}"


@then("at least half of those whose prompt no step moved go on")
def half_go_on(context):
    unmoved = [item for item in context.found if is_unmoved(item)]
    going = [item for item in unmoved if context.found[item] is not None]
    assert unmoved
    assert 2 * len(going) >= len(unmoved), f"{len(going)} of {len(unmoved)}"


def is_unmoved(stream: CallersStream) -> bool:
    """Return whether all proportions give the prompt of a stream to one version."""
    key = affinity_key(new_call(stream.parts))
    return len({pick_version(key, weights) for weights in PROPORTIONS}) == 1


@then("the router that started last logs how old the row's steps were, the newest about {age:d} ms")
def ages_logged(context, age):
    line = next(item for item in context.log_lines if item["event"] == "release_step")
    assert line["step_ages_ms"][-1] in range(age - CHECK_INTERVAL_MS, age + 1), line
    assert len(line["step_ages_ms"]) == line["steps"] and line["rows_age_ms"] is None, line


async def play_start(context, read_ms: int) -> None:
    """Begin streams at a router that has just started, and whose first read takes a while."""
    clock = LoopClock()
    async with trio.open_nursery() as nursery:
        store = LateStore(nursery, clock)
        step = ReleaseStep(0, PROPORTIONS[1])
        await store.write_release(ReleaseReport(SERVICE, 0, (step,), written_in=FIRST_ERA))
        await trio.sleep(BEFORE_MS / MS_PER_SECOND)
        store.read_ms = read_ms
        core = start_router(clock, 1)
        nursery.start_soon(ReleaseSync(core, store).run)
        context.begun = []
        for number in range(PROMPTS):
            deadline_ms = context.deadlines_ms[number % len(context.deadlines_ms)]
            nursery.start_soon(begin_one, context, core, f"p{number}", deadline_ms)
        await trio.sleep(1 + read_ms / MS_PER_SECOND)
        nursery.cancel_scope.cancel()


async def begin_one(context, core: Core, name: str, deadline_ms: int) -> None:
    """Begin a stream at a router and keep it."""
    context.begun.append(await begin_stream(core, name, deadline_ms))


@when(
    "streams begin at a router that has just started, and whose first read of the rows takes "
    "{read:d} ms, beside callers {callers}"
)
def begin_at_start(context, read, callers):
    context.deadlines_ms = CALLERS_DEADLINES_MS[callers]
    trio.run(play_start, context, read, clock=MockClock(autojump_threshold=0))


@then("each begins at the version that the row gives its prompt")
def begin_by_row(context):
    assert len(context.begun) == PROMPTS, len(context.begun)
    wrong = [
        item
        for item in context.begun
        if item.version != pick_version(affinity_key(new_call(item.parts)), PROPORTIONS[1])
    ]
    assert not wrong, f"{len(wrong)} of {PROMPTS}, the first: {wrong[0]}"
