"""A fleet of choosers whose zones differ in demand and are apart by links that take time.

The time to the first event counts the link, the reading of what a replica does not hold, the load
of the replica and the wait for a place in its slots.
"""

import math
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from features.choice_fleet import (
    FIRST_EVENT_MS,
    KINDS,
    SLOWER_PER_REQUEST,
    TRAVEL_MS,
    ChoiceFleet,
    RequestKind,
)
from features.entry_fixtures import ZONES, upstream_data
from skylarklift.entry.core import Core
from skylarklift.entry.model import Call
from skylarklift.entry.placement.choice import Choice
from skylarklift.entry.state.rows import RowTable

SLOTS = 16
READ_TOKENS_PER_MS = 60.0
COPY_TOKENS_PER_MS = 600.0
BYTES_PER_TOKEN = 4
MEAN_STREAM_MS = sum(kind.ratio * kind.stream_ms for kind in KINDS)
# Samples by which each router knows its links from the start.
LINK_SAMPLES = 3
WAVE_PERIOD_MS = 15_000
BODIES = {kind: bytes((kind.tokens + 630) * BYTES_PER_TOKEN) for kind in KINDS}


@dataclass
class ZoneOutcome:
    """What a run showed of the zones; waits are the times to first events in milliseconds."""

    requests: int = 0
    away: int = 0
    bytes_away: int = 0
    waits: list[float] = field(default_factory=list)
    tokens_read: int = 0
    # The part that may leave at each router, every half second.
    parts: defaultdict[str, list[float]] = field(default_factory=lambda: defaultdict(list))

    @property
    def away_ratio(self) -> float:
        """Return the share of requests that left their zone."""
        return self.away / max(1, self.requests)

    @property
    def mean_wait_ms(self) -> float:
        """Return the mean time to the first event."""
        return sum(self.waits) / max(1, len(self.waits))


class ZoneFleet(ChoiceFleet):
    """A fleet whose zones are `link_ms` apart, one way; `measured` is whether routers know it."""

    def __init__(
        self,
        routers: int,
        replicas: int,
        per_second: float,
        seed: int,
        link_ms: float,
        measured: bool,
    ):
        super().__init__(routers, replicas, per_second, seed)
        self.zones = ZoneOutcome()
        # The demand of each zone relative to the mean, at a time since the start.
        self.demand: Callable[[int, int], float] = lambda zone, moment_ms: 1.0
        self._link_ms = link_ms
        self._measured = measured
        self._begun = self.clock.now()
        self.at(0, self._note_parts)

    def _entry(self, number: int, cold_ms: int, born: int = 1) -> bytes:
        """Return the entry of a replica."""
        zone = ZONES[number % len(ZONES)]
        fields = {"cold_remaining_ms": cold_ms, "born": born, "slots": SLOTS}
        return upstream_data(zone=zone, port=9000 + number, **fields)

    def wave(self, swing: float) -> None:
        """Let the demand of the zones swing, out of phase."""
        self.demand = lambda zone, moment_ms: 1 + swing * math.sin(
            2 * math.pi * (moment_ms / WAVE_PERIOD_MS + zone / len(ZONES))
        )

    def _note_parts(self) -> None:
        """Note the parts that may leave, and let connections be made now and then."""
        if self._measured:
            for core in self._cores:
                for zone in ZONES:
                    rtt_ms = 2 * self._link_ms if zone != core.settings.zone else 0.2
                    for _ in range(LINK_SAMPLES):
                        core.chooser.zone_spill.links.record(zone, rtt_ms)
        for core in self._cores:
            part = core.chooser.zone_spill.parts().get("lm", 0.0)
            self.zones.parts[core.settings.node].append(part)
        # Removals are delayed while the store seems not to answer.
        self._state.confirm_version(RowTable.UPSTREAMS, self._row_version)
        self.at(500, self._note_parts)

    def _pick_core(self) -> Core:
        """Return the router at which a request arrives, by the demand of the zones."""
        moment_ms = self.clock.now() - self._begun
        weights = [self.demand(ZONES.index(core.settings.zone), moment_ms) for core in self._cores]
        return self.rng.choices(self._cores, weights)[0]

    def _make_call(self, kind: RequestKind) -> Call:
        """Return a request of a kind with a body."""
        call = super()._make_call(kind)
        call.body = BODIES[kind]
        return call

    def _arrive(self, core: Core, choice: Choice, call: Call, kind: RequestKind) -> None:
        """Let a request reach its replica after the link, and note what it waits for."""
        record = choice.upstream.record
        held = self._true_loads[record.replica]
        away = record.zone != core.settings.zone
        cached = call.parts[-2].name in self._cached.get(record.replica, ())
        read_ms = 0.0
        if not cached:
            pace = READ_TOKENS_PER_MS if choice.copy_source is None else COPY_TOKENS_PER_MS
            read_ms = kind.tokens / pace
            self.zones.tokens_read += kind.tokens * (choice.copy_source is None)
        slower = 1 + SLOWER_PER_REQUEST * held
        queued_ms = max(0, held - SLOTS + 1) / SLOTS * MEAN_STREAM_MS * slower
        travel_ms = 2 * self._link_ms * away + 2 * TRAVEL_MS
        self.zones.requests += 1
        self.zones.away += away
        self.zones.bytes_away += len(call.body) * away
        self.zones.waits.append(travel_ms + queued_ms + (FIRST_EVENT_MS + read_ms) * slower)
        super()._arrive(core, choice, call, kind)
