"""Decide when a request leaves the router's zone, and how much of a zone's demand may leave.

The part that may leave rises while the own zone is under pressure and the others have room, and
falls afterwards.  It changes slowly, because all routers of a zone see the same loads, and what one
of them changes shows in the loads only after the time of a request and of a report.

Which requests leave is decided by the hash of a chat's key: the routers of a zone choose the same
chats without messages, so few prefixes are read in two zones.

These decisions only change the order of candidates.  Whatever excludes candidates, such as
evacuated zones, allowed regions, limits and versions of streams, therefore takes precedence.
"""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from skylarklift.clock import MS_PER_SECOND, Clock, Millis
from skylarklift.entry.model import Call
from skylarklift.entry.placement.affinity import ANY_ZONE, ChatZones
from skylarklift.entry.placement.candidates import Candidates
from skylarklift.entry.placement.prefixes import shared_parts
from skylarklift.entry.placement.zone_links import ZoneLinks
from skylarklift.entry.placement.zone_pressure import (
    ZoneLoad,
    ZonePressure,
    compare_zones,
    measure_zones,
)
from skylarklift.hashing import rendezvous_weight
from skylarklift.ids import ServiceId, ZoneId

# An upstream in another zone counts as having this many more requests in flight: bytes between
# zones cost more than a place beside another request, as long as places are free.
OTHER_ZONE_PENALTY = 1.5
# Requests begin to leave above the first pressure and stop to do so below the second one.
LEAVE_PRESSURE = 0.85
RETURN_PRESSURE = 0.65
# More requests leave only if the pressure of the other zones is lower by this much, and fewer if it
# is higher by as much.
MIN_RELIEF = 0.1
# The most by which the part that may leave changes in a second.
MAX_RISE_PER_S = 0.15
MAX_FALL_PER_S = 0.1
# The part rises or falls by this much a second for each unit of pressure beyond a threshold.
RATE_PER_PRESSURE = 1.0
MIN_RATE_PER_S = 0.02
# Pressures are computed at this interval: the sums cover all replicas of a service.
UPDATE_MS = 100
# After a time without requests, the part changes by at most one step of this length.
MAX_STEP_MS = 1000
MAX_SERVICES = 64
MAX_CHANGES = 100
# A plain request is assumed to take this long, so a link of this round trip counts as a request.
REQUEST_MS = 50.0
# So many bytes between zones are assumed to cost as much as one more request in flight.
BYTES_PER_REQUEST = 16_384
# So many bytes between zones are assumed to cost as much as one millisecond of reading.
BYTES_PER_READ_MS = 1024
# The pace of an engine's reading is assumed, and assumed low.
READ_TOKENS_PER_MS = 60.0
# A prefix that is read in the own zone is assumed to be used there this often before it is
# evicted; each use at a holder in another zone would cross the link.
USES_PER_PREFIX = 4
HASH_RANGE = 1 << 32
# Separates loads that differ by one request.
HALF_REQUEST = 0.5


@dataclass(frozen=True, slots=True)
class RequestCost:
    """What decides where a request is cheapest: its key, its bytes, and its shared tokens."""

    key: str
    size_bytes: int
    shared_tokens: int = 0


def request_cost(key: str, call: Call) -> RequestCost:
    """Return what decides where a request with an affinity key is cheapest."""
    tokens = sum(part.tokens for part in shared_parts(call.parts))
    return RequestCost(key, len(call.body), tokens)


@dataclass(frozen=True, slots=True)
class SpillChange:
    """The part of a service's demand that may leave starts or ends, at these pressures.

    A pressure is `None` where there are no usable slots.
    """

    service: ServiceId
    leaves: bool
    own_pressure: float | None
    other_pressure: float | None


@dataclass(slots=True)
class SpillState:
    """The part of a service's demand that may leave, and the load from which it was derived.

    `part` is between 0 and 1.  `rising` is whether the last pressure that crossed a threshold was
    the upper one.
    """

    updated_at: Millis
    part: float = 0.0
    rising: bool = False
    pressure: ZonePressure = field(default_factory=lambda: ZonePressure(ZoneLoad(), ZoneLoad()))

    def update(self, pressure: ZonePressure, now: Millis) -> None:
        """Adapt the part to the pressure of the own zone and of the others."""
        step_s = min(now - self.updated_at, MAX_STEP_MS) / MS_PER_SECOND
        self.updated_at, self.pressure = now, pressure
        if not pressure.own.slots:
            # Nothing can stay.  Once replicas are back, the demand returns step by step.
            self.part, self.rising = float(pressure.others.slots > 0), False
            return
        self.part = min(1.0, max(0.0, self.part + self._rate_per_s(pressure) * step_s))

    def _rate_per_s(self, pressure: ZonePressure) -> float:
        """Return the change of the part in a second."""
        own, others = pressure.own.pressure, pressure.others.pressure
        if own > LEAVE_PRESSURE:
            self.rising = True
        elif own < RETURN_PRESSURE:
            self.rising = False
        if others > own + MIN_RELIEF:
            return -MAX_FALL_PER_S
        if not self.rising:
            # Between the thresholds, demand that left before the zone recovered returns slowly.
            return -_limit_rate(RETURN_PRESSURE - own, MAX_FALL_PER_S)
        if own > LEAVE_PRESSURE and others < own - MIN_RELIEF:
            return _limit_rate(own - LEAVE_PRESSURE, MAX_RISE_PER_S)
        return 0.0


def _limit_rate(excess: float, most: float) -> float:
    """Return a rate in proportion to the excess of a pressure, within bounds."""
    return min(most, max(MIN_RATE_PER_S, RATE_PER_PRESSURE * excess))


class ZoneSpill:
    """Weigh upstreams of other zones against those of the own zone, for each request."""

    def __init__(self, clock: Clock, zone: ZoneId, links: ZoneLinks):
        self._clock = clock
        self._zone = zone
        self.links = links
        self._services: OrderedDict[ServiceId, SpillState] = OrderedDict()
        self._changes: deque[SpillChange] = deque(maxlen=MAX_CHANGES)

    def applies(self) -> bool:
        """Return whether the link to some other zone is long enough to be weighed."""
        return any(self.is_far(zone) for zone in self.links.known())

    def is_far(self, zone: ZoneId) -> bool:
        """Return whether a zone is another one, and the link to it is weighed."""
        return zone != self._zone and self.links.is_long(zone)

    def update(self, service: ServiceId, usable: Callable[[], Candidates]) -> None:
        """Adapt the part of a service's demand that may leave, if links are weighed and it is due.

        `usable` returns the upstreams that may take requests of any kind.
        """
        if not self.applies():
            self._services.clear()
            return
        now = self._clock.now()
        state = self._services.get(service)
        if state is not None and now - state.updated_at < UPDATE_MS:
            return
        if state is None:
            state = self._services[service] = SpillState(now)
        self._services.move_to_end(service)
        left_before = state.part > 0
        state.update(compare_zones(measure_zones(usable()), self._zone), now)
        if (state.part > 0) != left_before:
            self._record_change(service, state)
        while len(self._services) > MAX_SERVICES:
            self._services.popitem(last=False)

    def _record_change(self, service: ServiceId, state: SpillState) -> None:
        """Keep for the log that the part that may leave starts or ends."""
        loads = (state.pressure.own, state.pressure.others)
        own, others = (round(load.pressure, 2) if load.slots else None for load in loads)
        self._changes.append(SpillChange(service, state.part > 0, own, others))

    def allows(self, service: ServiceId, key: str) -> bool:
        """Return whether a request may leave the zone as if all zones were equally near."""
        state = self._services.get(service)
        if state is None or not state.part:
            return False
        return rendezvous_weight(key, "zone") % HASH_RANGE < state.part * HASH_RANGE

    def penalty(self, service: ServiceId, zone: ZoneId, cost: RequestCost) -> float:
        """Return by how many requests an upstream of a zone counts as more loaded."""
        if zone == self._zone:
            return 0.0
        if not self.is_far(zone):
            return OTHER_ZONE_PENALTY
        crossing = self.links.rtt_ms(zone) / REQUEST_MS + cost.size_bytes / BYTES_PER_REQUEST
        if self.allows(service, cost.key):
            return max(OTHER_ZONE_PENALTY, crossing)
        state = self._services.get(service)
        room = state.pressure.own.mean_slots if state is not None else 0.0
        # An upstream here is preferred as long as it has a free slot, but not once it is full.
        return max(OTHER_ZONE_PENALTY, crossing, room - HALF_REQUEST)

    def penalties(
        self, service: ServiceId, candidates: Candidates, cost: RequestCost
    ) -> dict[ZoneId, float]:
        """Return the penalty of each zone that has candidates."""
        zones = {candidates[name].record.zone for name in candidates}
        return {zone: self.penalty(service, zone, cost) for zone in zones}

    def chat_zones(self, service: ServiceId, cost: RequestCost) -> ChatZones:
        """Return the zones to which a chat goes only if there is no room nearer."""
        far = [zone for zone in self.links.known() if self.is_far(zone)]
        if not far or self.allows(service, cost.key):
            return ANY_ZONE
        unpaid = frozenset(zone for zone in far if not self.holder_pays(zone, cost))
        return ChatZones(frozenset(far), unpaid)

    def holder_pays(self, zone: ZoneId, cost: RequestCost) -> bool:
        """Return whether a holder in a zone saves more than the way to it costs."""
        if not self.is_far(zone):
            return True
        crossing_ms = self.links.rtt_ms(zone) + cost.size_bytes / BYTES_PER_READ_MS
        return cost.shared_tokens / READ_TOKENS_PER_MS > USES_PER_PREFIX * crossing_ms

    # For operators.

    def pop_changes(self) -> list[SpillChange]:
        """Return and forget the starts and ends since the last call."""
        changes = list(self._changes)
        self._changes.clear()
        return changes

    def parts(self) -> dict[ServiceId, float]:
        """Return the part of each service's demand that may leave."""
        return {service: state.part for service, state in self._services.items()}

    def pressures(self) -> dict[str, float]:
        """Return the pressure of each service in the own zone and in the others, if finite."""
        values = {}
        for service, state in self._services.items():
            for label, load in (("own", state.pressure.own), ("others", state.pressure.others)):
                if load.slots:
                    values[f"{service}:{label}"] = load.pressure
        return values
