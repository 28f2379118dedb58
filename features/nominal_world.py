"""Two routers, a store and callers with deadlines, for tests of nominal starts."""

from dataclasses import dataclass, field
from random import Random

from features.release_fixtures import SERVICE, RowOfService
from skylarklift.clock import ManualClock, Millis
from skylarklift.entry.versions.release_rows import decode_report
from skylarklift.entry.versions.releases import Releases
from skylarklift.entry.versions.version_counts import CountHistory
from skylarklift.ids import SoftwareVersion

ROUTE = "r1"
TIMEOUT_MS = 15_000
SHORTEST_RATIO = 0.85
# Between two tries of a caller, ways of requests differ by up to this.
JITTER_MS = 100
TICK_MS = 50
# The store performs a write this long after its call.
WRITE_MS = 20
STREAMS_PER_TICK = 3
QUIET_MS = 5000
RESTART_MS = 800
SEED = 7


@dataclass(frozen=True)
class BegunStream:
    """A stream: its prompt, when it began, for how long its caller waits, and its version."""

    key: str
    began_at: Millis
    waits_ms: int
    version: SoftwareVersion


@dataclass
class World:
    """Two routers, one of which learns of rows later, a store, and callers with deadlines."""

    delay_ms: int
    clock: ManualClock = field(default_factory=lambda: ManualClock(1_000_000))
    rng: Random = field(default_factory=lambda: Random(SEED))
    streams: list[BegunStream] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=lambda: {"v1": 1})
    callers: str = ""
    knows_all: bool = True
    begins: bool = False
    other_hears: bool = True

    def __post_init__(self):
        self.store = RowOfService(self.clock)
        self.writer, self.other = Releases(self.clock), Releases(self.clock)
        self.history = CountHistory(self.clock)

    def write(self) -> None:
        """Let the writer write the row for the replicas of now, if it is not right."""
        self.writer.spans.allowed = self.knows_all
        self.writer.confirm(0)
        self.history.record(SERVICE, self.counts)
        ahead_ms = self.writer.spans.mean_lag_ms(SERVICE)
        forecast = self.history.forecast(SERVICE, self.counts, ahead_ms)
        report = self.writer.next_report(SERVICE, self.counts, None, forecast)
        report = report or self.writer.nominal_report(SERVICE)
        if report is not None:
            self.store.write(report)
            self.clock.advance(WRITE_MS)
            self.writer.apply(self.store.read())

    def learn(self) -> None:
        """Let the other router learn of the row that is due, and both what they saw of callers."""
        due_at = self.clock.now() - self.delay_ms
        due = [row for row in self.store.stored if row.written_at <= due_at]
        self.other.spans.allowed = self.knows_all
        if due and self.other_hears:
            row, now = due[-1], self.clock.now() - self.store.late_ms
            self.other.apply(decode_report(SERVICE, row.version, row.data, now, self.store.era))
            self.exchange_waits()

    def exchange_waits(self) -> None:
        """Let both routers hear how long callers wait at the other one."""
        pairs = ((self.writer, self.other), (self.other, self.writer))
        for sender, receiver in pairs:
            for wait in sender.spans.waits():
                receiver.spans.seen.apply_report(wait)

    def begin(self) -> None:
        """Let callers begin streams at both routers."""
        for number in range(STREAMS_PER_TICK):
            releases = self.rng.choice((self.writer, self.other))
            self.begin_stream(releases, number, self.draw_wait())

    def begin_stream(self, releases: Releases, number: int, waits_ms: int) -> None:
        """Let a caller that waits for a time begin a stream at a router."""
        key = f"k{self.clock.now()}-{number}"
        releases.spans.seen.record(SERVICE, ROUTE, waits_ms, TIMEOUT_MS)
        age_ms = releases.spans.nominal_age_ms(SERVICE, ROUTE, waits_ms)
        version = releases.assigned_version(SERVICE, key, age_ms)
        if self.begins:
            self.streams.append(BegunStream(key, self.clock.now(), waits_ms, version))

    def draw_wait(self) -> int:
        """Return for how long a caller waits, 0 if it names no time."""
        waits_ms = round(TIMEOUT_MS * self.rng.uniform(SHORTEST_RATIO, 1.0))
        if self.callers == "of whom one waits for an hour" and self.rng.random() < 0.01:
            return 3_600_000
        if self.callers == "that name no deadline":
            return 0
        factors = {"that wait for twice as long": 2.0, "that wait for half as long": 0.5}
        return round(waits_ms * factors.get(self.callers, 1.0))

    def pass_time(self, span_ms: int) -> None:
        """Let a time pass in which the routers do all of that."""
        end = self.clock.now() + span_ms
        while self.clock.now() < end:
            self.write()
            self.learn()
            self.begin()
            self.clock.advance(TICK_MS)
