"""The places at upstreams that fail if they have to reject too many requests in a second.

While the upstreams of a service say so, each router has a share of the slots of each of them, so
that all routers together send no more than run at once.  One rejection keeps all routers from an
upstream for a second.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

from skylarklift.clock import MS_PER_SECOND, Clock, Millis
from skylarklift.entry.model import ReplicaLoad, UpstreamRecord
from skylarklift.entry.placement.fleet_limits import FleetShare
from skylarklift.entry.placement.report_times import LIMIT_RELAY_DELAY_MS, reported_moment
from skylarklift.ids import ReplicaId, ServiceId

# What no answer has confirmed for this long is dropped, and that it was lifted as well.
NAMED_TTL_MS = 60_000
# All upstreams of a service name their limits.  An answer without one lifts them only if its
# request was sent this long after the last one named: some may name them later than others.
LIFT_DELAY_MS = 3000
# After a rejection no router sends to the upstream for this long.
REJECTION_HOLD_MS = 1000
# An upstream gets nothing for this long after an answer that reports waiting requests.
WAITING_HOLD_MS = 200
# A load that an upstream answered counts for this long.
ANSWERED_LOAD_TTL_MS = 1000
MAX_REPORTS = 60
# A router without a free place of its own may use one of an upstream if the known load there, and
# the mean of the service, are below this ratio of its slots.
BORROW_LOAD_RATIO = 0.5
# In a second all routers together borrow this ratio of the slots.
BORROW_RATE_RATIO = 1.0
MAX_BORROW_TOKENS = 1.0


@dataclass(frozen=True, slots=True)
class RejectionLimit:
    """How many requests the upstreams of a service can reject in a second, named `age_ms` ago."""

    service: ServiceId
    per_second: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class Rejection:
    """An upstream that rejected a request for want of room `age_ms` ago."""

    replica: ReplicaId
    age_ms: int


Report = TypeVar("Report", RejectionLimit, Rejection)


@dataclass(frozen=True, slots=True)
class Backpressure:
    """What a router reports of upstreams that must not be overloaded."""

    limits: tuple[RejectionLimit, ...] = ()
    rejections: tuple[Rejection, ...] = ()


@dataclass(slots=True)
class NamedLimit:
    """What the upstreams of a service named last, and this router's tokens for borrowed places.

    `per_second` is `None` after it was lifted.
    """

    per_second: int | None
    observed_at: Millis
    filled_at: Millis
    tokens: float = 0.0


@dataclass(frozen=True, slots=True)
class AnsweredLoad:
    """The load that an upstream reported in an answer, and when."""

    load: ReplicaLoad
    answered_at: Millis


@dataclass(frozen=True, slots=True)
class KnownLoads:
    """The requests in flight at an upstream, this router's `own` ones and those of all routers.

    `mean` is the mean of all upstreams of the service, of which `replicas` may take the request.
    """

    own: int
    all_routers: int
    mean: float
    replicas: int


class ConcurrencyLimits:
    """The services whose upstreams can reject few requests, and this router's places at them."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._limits: dict[ServiceId, NamedLimit] = {}
        self._rejected_at: dict[ReplicaId, Millis] = {}
        self._loads: dict[ReplicaId, AnsweredLoad] = {}

    # What answers and reports tell.

    def record_named(self, service: ServiceId, per_second: int) -> bool:
        """Record the limit in an answer; return whether the service had named none before."""
        return self._update(service, per_second, self._clock.now())

    def record_unnamed(self, service: ServiceId, sent_at: Millis) -> bool:
        """Record that the answer to a request sent at `sent_at` names no limit.

        Return whether this lifts the service's limit.
        """
        if not self.is_limited(service):
            return False
        if sent_at < self._limits[service].observed_at + LIFT_DELAY_MS:
            return False
        return self._update(service, None, sent_at)

    def record_rejection(self, replica: ReplicaId) -> bool:
        """Record that an upstream rejected a request; return whether others are to know."""
        return self._hold_back(replica, self._clock.now())

    def record_load(self, replica: ReplicaId, load: ReplicaLoad) -> None:
        """Record the load that an upstream of a limited service reported in an answer."""
        self._loads[replica] = AnsweredLoad(load, self._clock.now())

    def apply_limit(self, report: RejectionLimit) -> bool:
        """Apply what another router reported; return whether the limit is new here."""
        observed_at = self._observed_at(report.age_ms)
        known = self._limits.get(report.service)
        if observed_at <= self._clock.now() - NAMED_TTL_MS:
            return False
        if known is not None and observed_at <= known.observed_at:
            return False
        return self._update(report.service, report.per_second, observed_at)

    def apply_rejection(self, report: Rejection) -> bool:
        """Apply what another router reported; return whether it holds this router back anew."""
        return self._hold_back(report.replica, self._observed_at(report.age_ms))

    def _observed_at(self, age_ms: int) -> Millis:
        """Return the moment of what another router saw `age_ms` before it sent a report."""
        return reported_moment(self._clock, age_ms, LIMIT_RELAY_DELAY_MS)

    def _update(self, service: ServiceId, per_second: int | None, observed_at: Millis) -> bool:
        """Set a limit; return whether it is new, or was lifted."""
        known = self._limits.get(service)
        if known is None:
            known = NamedLimit(None, observed_at, self._clock.now())
            self._limits[service] = known
        was_limited = known.per_second is not None
        if not was_limited:
            known.tokens, known.filled_at = 0.0, self._clock.now()
        known.per_second, known.observed_at = per_second, observed_at
        return was_limited != (per_second is not None)

    def _hold_back(self, replica: ReplicaId, rejected_at: Millis) -> bool:
        """Hold back from an upstream; return whether this router was not held back before."""
        if rejected_at <= self._clock.now() - REJECTION_HOLD_MS:
            return False
        was_held = self._is_held_back(replica)
        self._rejected_at[replica] = max(rejected_at, self._rejected_at.get(replica, rejected_at))
        return not was_held

    # Decisions.

    def is_limited(self, service: ServiceId) -> bool:
        """Return whether the upstreams of a service can reject few requests."""
        known = self._limits.get(service)
        return known is not None and known.per_second is not None

    def has_place(self, record: UpstreamRecord, loads: KnownLoads, share: FleetShare) -> bool:
        """Return whether this router may send one more request to an upstream."""
        if not share.usable or self._is_held_back(record.replica):
            return False
        answered = self._recent_load(record.replica)
        if answered is not None and self._tells_of_waiting(answered):
            return False
        places = self._places(record, share)
        if loads.own < places:
            return True
        load = max(loads.all_routers, loads.mean)
        if answered is not None:
            load = max(load, answered.load.running + answered.load.waiting)
        if loads.own > places or load >= BORROW_LOAD_RATIO * self._slots(record):
            return False
        return self._refill(record, share, loads.replicas) >= 1

    def record_request(self, record: UpstreamRecord, own: int, share: FleetShare) -> None:
        """Record a request that is being sent; `own` others of this router are at the upstream."""
        if own >= self._places(record, share):
            self._limits[record.service].tokens -= 1

    def _is_held_back(self, replica: ReplicaId) -> bool:
        """Return whether an upstream has rejected a request lately."""
        rejected_at = self._rejected_at.get(replica)
        return rejected_at is not None and rejected_at > self._clock.now() - REJECTION_HOLD_MS

    def _recent_load(self, replica: ReplicaId) -> AnsweredLoad | None:
        """Return what an upstream reported of its load, `None` if that is too old."""
        found = self._loads.get(replica)
        if found is None or found.answered_at <= self._clock.now() - ANSWERED_LOAD_TTL_MS:
            return None
        return found

    def _tells_of_waiting(self, answered: AnsweredLoad) -> bool:
        """Return whether requests waited at an upstream a moment ago."""
        return bool(
            answered.load.waiting and answered.answered_at > self._clock.now() - WAITING_HOLD_MS
        )

    def _slots(self, record: UpstreamRecord) -> int:
        """Return how many requests an upstream runs at once, the least that it reported."""
        answered = self._loads.get(record.replica)
        reported = [record.slots, answered.load.slots if answered is not None else 0]
        return min((slots for slots in reported if slots > 0), default=1)

    def _places(self, record: UpstreamRecord, share: FleetShare) -> int:
        """Return how many of an upstream's slots are this router's; of few, the first have one."""
        each, rest = divmod(self._slots(record), share.routers)
        return each + int(share.rank < rest)

    def _refill(self, record: UpstreamRecord, share: FleetShare, replicas: int) -> float:
        """Add the tokens that have accrued since the last time, and return their number."""
        limit, now = self._limits[record.service], self._clock.now()
        elapsed_ms, limit.filled_at = now - limit.filled_at, now
        per_second = BORROW_RATE_RATIO * self._slots(record) * replicas / share.routers
        accrued = per_second * elapsed_ms / MS_PER_SECOND
        limit.tokens = min(limit.tokens + accrued, MAX_BORROW_TOKENS)
        return limit.tokens

    # Reports and expiry.

    def named(self) -> dict[ServiceId, int]:
        """Return the limits in force, in rejections a second."""
        return {
            service: limit.per_second
            for service, limit in self._limits.items()
            if limit.per_second is not None
        }

    def reports(self) -> Backpressure:
        """Return what to report to the other routers, the newest first if there is too much."""
        if not self._limits and not self._rejected_at:
            return Backpressure()
        self._expire_rejections()
        now = self._clock.now()
        limits = (
            RejectionLimit(service, per_second, now - self._limits[service].observed_at)
            for service, per_second in self.named().items()
        )
        rejections = (
            Rejection(replica, now - rejected_at)
            for replica, rejected_at in self._rejected_at.items()
        )
        return Backpressure(_newest(limits), _newest(rejections))

    def expire(self) -> list[ServiceId]:
        """Drop what nothing has confirmed for long; return the services whose limit ends by it."""
        self._expire_rejections()
        now = self._clock.now()
        ended = []
        for service, limit in list(self._limits.items()):
            if limit.observed_at <= now - NAMED_TTL_MS:
                del self._limits[service]
                if limit.per_second is not None:
                    ended.append(service)
        for replica, answered in list(self._loads.items()):
            if answered.answered_at <= now - NAMED_TTL_MS:
                del self._loads[replica]
        return ended

    def _expire_rejections(self) -> None:
        """Drop rejections that hold nothing back any more."""
        limit = self._clock.now() - REJECTION_HOLD_MS
        for replica, rejected_at in list(self._rejected_at.items()):
            if rejected_at <= limit:
                del self._rejected_at[replica]


def _newest(reports: Iterable[Report]) -> tuple[Report, ...]:
    """Return the newest reports, as many as a message holds."""
    return tuple(sorted(reports, key=lambda report: report.age_ms)[:MAX_REPORTS])
