"""Build rows on software versions, and prompts assigned by them, for tests."""

from dataclasses import dataclass, field

from features.entry_fixtures import (
    ZONES,
    upstream_data,
)
from skylarklift.clock import ManualClock, Millis
from skylarklift.entry.gossip.fleet import GossipMessage
from skylarklift.entry.state.rows import FIRST_ERA, Era, TableSummary
from skylarklift.entry.versions.release_rows import ReleaseReport, decode_report, encode_report
from skylarklift.entry.versions.release_steps import ReleaseStep, VersionWeight, pick_version

SERVICE = "lm"
REQUEST = "first-1"
ROW_VERSION = 2
LONGEST_MS = 15_000
STORE_NOW_MS = 10_000_000
# A router is silent after this long in a small fleet.
SILENCE_MS = 9000
EMPTY_SUMMARIES = (TableSummary(0, 0, 0, 0),) * 2


def parse_weights(text):
    """Return the proportions VERSION:REPLICAS,..."""
    pairs = (item.split(":") for item in text.split(","))
    return tuple(VersionWeight(version, int(count)) for version, count in pairs)


def parse_steps(text):
    """Return the steps AGE_S=PROPORTIONS, separated by spaces."""
    items = (item.split("=") for item in text.split())
    return tuple(ReleaseStep(int(age) * 1000, parse_weights(weights)) for age, weights in items)


def prompt_of(context, version):
    """Return the key of a prompt that the newest proportions assign to a version."""
    if version == "any":
        return "s0"
    weights = context.steps[-1].weights
    return next(key for n in range(100) if pick_version(key := f"s{n}", weights) == version)


def entry(number, **fields):
    return upstream_data(zone=ZONES[number], port=9000 + number, **fields)


def gossip_of_releases(*releases):
    """Return a message of another router about software versions."""
    return GossipMessage("n1", "b", "", EMPTY_SUMMARIES, releases=releases)


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
        return self.read()

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
