"""Steps for histories of software versions that are merged, or were lost with the store's rows."""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from behave import given, then, when

from features.release_fixtures import LONGEST_MS, SERVICE
from skylarklift.clock import ManualClock, Millis
from skylarklift.entry.state.rows import FIRST_ERA, Era
from skylarklift.entry.versions.release_steps import VersionWeight, pick_version
from skylarklift.entry.versions.releases import (
    ReleaseReport,
    Releases,
    decode_report,
    encode_report,
)
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


@dataclass(frozen=True)
class StoredRow:
    """A row and when it was written."""

    written_at: Millis
    version: int
    data: bytes


@dataclass
class RowOfService:
    """The row of one service in a store that can go back to a copy."""

    clock: ManualClock
    era: Era = FIRST_ERA
    stored: list[StoredRow] = field(default_factory=list)

    def write(self, report: ReleaseReport) -> ReleaseReport:
        """Write the row if it is still the one that its writer knows; return it as it is."""
        if report.row_version != self._version():
            return self.read()
        now = self.clock.now()
        version = report.row_version + 1
        self.stored.append(StoredRow(now, version, encode_report(report, now)))
        return replace(report, row_version=version, era=self.era)

    def read(self) -> ReleaseReport:
        """Return the row."""
        data = self.stored[-1].data
        return decode_report(SERVICE, self._version(), data, self.clock.now(), self.era)

    def restore(self, lost_ms: int) -> None:
        """Go back to a copy of `lost_ms` ago."""
        self.stored = [row for row in self.stored if row.written_at <= self.clock.now() - lost_ms]
        self.era = Era(self.era + 1)

    def _version(self) -> int:
        return self.stored[-1].version if self.stored else 0


def write_counts(context, releases, counts):
    """Let a router that follows the store write the proportions, if they have changed."""
    releases.confirm(0)
    report = releases.next_report(SERVICE, counts)
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


@then("the row holds at most {most:d} proportions")
def row_is_bounded(context, most):
    assert len(context.store.read().steps) <= most
