"""Rows of a store that was restored from a copy, held back while they may be outdated.

Versions order rows only within one era of the store.  In the first table of a new era, a row may
come from the copy, and so be older than what this router knows.  Such a row is held back until its
writer has had the time to write again what was lost; then the store is right.
"""

from dataclasses import dataclass

from skylarklift.clock import Clock, Millis
from skylarklift.entry.model import RoutePlan, UpstreamRecord
from skylarklift.entry.rollouts.order import RolloutRow
from skylarklift.entry.state.rows import EvacuationRow, RowTable, UpstreamRow
from skylarklift.ids import ReplicaId

# Operators write their rows again as soon as the store is back.
OPERATOR_SETTLE_MS = 3000
# An entry that its replica does not renew lapses after three heartbeats.
UPSTREAM_SETTLE_MS = 6000
# A copy of the store is some seconds old, and an upstream that leaves ends within some, too.
DEPARTED_TTL_MS = 120_000
# This many are remembered for longer.
MIN_DEPARTED = 500

DecodedRow = RoutePlan | EvacuationRow | RolloutRow | UpstreamRow


@dataclass(frozen=True, slots=True)
class HeldRow:
    """A decoded row that is held back, the version of its row, and until when."""

    table: RowTable
    key: str
    row: DecodedRow
    version: int
    until: Millis


class RestoredRows:
    """The rows that are held back after the store was restored."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._held: dict[tuple[RowTable, str], HeldRow] = {}
        self._settled_at = dict.fromkeys(RowTable, Millis(0))

    def start_era(self, table: RowTable) -> None:
        """Drop what was held back in an earlier era, and hold back rows of the new one from now."""
        for held_table, key in list(self._held):
            if held_table is table:
                del self._held[held_table, key]
        self._settled_at[table] = Millis(self._clock.now() + _settle_ms(table))

    def is_settling(self, table: RowTable) -> bool:
        """Return whether rows of a new era may still be held back."""
        return self._clock.now() < self._settled_at[table]

    def hold(self, table: RowTable, key: str, row: DecodedRow, version: int) -> None:
        """Hold a row back until the era has settled."""
        self._held[table, key] = HeldRow(table, key, row, version, self._settled_at[table])

    def release(self, table: RowTable, key: str) -> None:
        """Drop the held version of a row, since a newer one has arrived."""
        self._held.pop((table, key), None)

    def take_due(self) -> list[HeldRow]:
        """Remove and return the rows that no longer need to be held back."""
        now = self._clock.now()
        due = [held for held in self._held.values() if held.until <= now]
        for held in due:
            del self._held[held.table, held.key]
        return due


@dataclass(frozen=True, slots=True)
class DepartedUpstream:
    """The last entry of an upstream, and when it was removed or said that it leaves."""

    record: UpstreamRecord
    departed_at: Millis


class DepartedUpstreams:
    """The last entries of removed upstreams, so that no copy of one brings it back.

    An upstream that has announced its end is remembered too, beyond the removal of its entry.
    However many leave at once, none is forgotten while an entry of it may come back.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        # Both in the order in which they were added.
        self._removed: dict[ReplicaId, DepartedUpstream] = {}
        self._announced: dict[ReplicaId, DepartedUpstream] = {}

    def add(self, record: UpstreamRecord, *, announced: bool) -> None:
        """Remember a removed upstream, and whether it had announced its end."""
        self._remember(self._removed, record)
        if announced:
            self.add_announced(record)

    def add_announced(self, record: UpstreamRecord) -> None:
        """Remember that an upstream has announced its end."""
        self._remember(self._announced, record)

    def has_announced(self, record: UpstreamRecord) -> bool:
        """Return whether an upstream has announced its end since its start."""
        known = self._announced.get(record.replica)
        return known is not None and known.record.started_ms == record.started_ms

    def last_entry(self, replica: ReplicaId) -> UpstreamRecord | None:
        """Return the last entry of a removed upstream, `None` if it is not known."""
        known = self._removed.get(replica)
        return known.record if known else None

    def __len__(self) -> int:
        """Return how many removed upstreams are remembered."""
        return len(self._removed)

    def _remember(
        self, departed: dict[ReplicaId, DepartedUpstream], record: UpstreamRecord
    ) -> None:
        """Add a record as the newest; drop the oldest ones if there are many."""
        now = self._clock.now()
        departed.pop(record.replica, None)
        departed[record.replica] = DepartedUpstream(record, now)
        while len(departed) > MIN_DEPARTED:
            oldest = next(iter(departed.values()))
            if oldest.departed_at > now - DEPARTED_TTL_MS:
                return
            del departed[oldest.record.replica]


def _settle_ms(table: RowTable) -> int:
    """Return how long after a new era began its rows may be held back."""
    return OPERATOR_SETTLE_MS if table is RowTable.OPERATOR else UPSTREAM_SETTLE_MS
