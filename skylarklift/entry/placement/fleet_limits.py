"""Limits for the whole fleet, of which each router uses only its own share.

A share is the limit divided by the number of known routers, so the sum stays within the limit
even if routers receive no messages from each other.  A silent router still counts for a while.
"""

from collections import deque
from dataclasses import dataclass

from skylarklift.clock import Clock, Millis
from skylarklift.entry.model import Bounds
from skylarklift.ids import ReplicaId, ServiceId

COLD_WINDOW_MS = 1000
# The time between sending and arrival varies, so requests are counted over a window that is wider
# by this much.
ARRIVAL_SLACK_MS = 150
WINDOW_PARTS = 10
# The limit must hold in every window, wherever it starts.  Up to half of the requests counted here
# may lie outside a window that holds their retries, so the budget uses only this ratio of them.
COUNTED_REQUESTS_RATIO = 0.5


@dataclass(frozen=True, slots=True)
class FleetShare:
    """How this router takes part in a limit of the whole fleet.

    The limit is divided among `routers`, of which this one has the rank `rank`, from 0.  It is
    not `usable` while this router may not know all the others.
    """

    routers: int
    rank: int
    usable: bool = True


class ColdRequestLimit:
    """The limit on requests that this router may send to a cold replica.

    At most `cold_per_s * cold_overshoot + cold_tolerance` requests a second may reach it from
    all routers together.  If that is less than one for each router, only the routers that come
    first in an order known to all send one request each.
    """

    def __init__(self, clock: Clock, bounds: Bounds):
        self._clock = clock
        self._bounds = bounds
        self._started = clock.now()
        self._sent: dict[ReplicaId, deque[Millis]] = {}

    def _limit(self, cold_per_s: float) -> int:
        """Return how many requests a second all routers together may send to a cold replica."""
        return int(cold_per_s * self._bounds.cold_overshoot + self._bounds.cold_tolerance)

    def allows(self, replica: ReplicaId, cold_per_s: float, share: FleetShare) -> bool:
        """Return whether one more request may be sent now."""
        if not share.usable:
            return False
        limit = self._limit(cold_per_s)
        allowed = limit // max(1, share.routers)
        if not allowed:
            allowed = int(share.rank < limit)
        sent = self._sent.setdefault(replica, deque())
        oldest = self._clock.now() - COLD_WINDOW_MS - ARRIVAL_SLACK_MS
        while sent and sent[0] <= oldest:
            sent.popleft()
        return len(sent) < allowed

    def may_have_sent_before(self) -> bool:
        """Return whether requests that this router sent before it started may still count."""
        return self._clock.now() - self._started < COLD_WINDOW_MS + ARRIVAL_SLACK_MS

    def record_request(self, replica: ReplicaId) -> None:
        """Record a request that is being sent to a cold replica."""
        self._sent.setdefault(replica, deque()).append(self._clock.now())

    def record_sent(self, replica: ReplicaId, recorded_at: Millis) -> None:
        """Count a recorded request from now, since its connection may have been held up."""
        sent = self._sent.setdefault(replica, deque())
        if recorded_at in sent:
            sent.remove(recorded_at)
        sent.append(self._clock.now())

    def forget(self, replica: ReplicaId) -> None:
        """Drop the record of a removed replica."""
        self._sent.pop(replica, None)


class FleetRetryBudget:
    """The number of retries that this router may send to a service.

    In each window, all routers together may add `retry_ratio` times the requests for the
    service, and `retry_extra` more.
    """

    def __init__(self, clock: Clock, bounds: Bounds):
        self._clock = clock
        self._bounds = bounds
        self._requests: dict[ServiceId, WindowCount] = {}
        self._retries: dict[ServiceId, WindowCount] = {}

    def record_request(self, service: ServiceId) -> None:
        """Record a caller's request for a service."""
        self._count(self._requests, service).add(self._clock.now())

    def try_spend(self, service: ServiceId, routers: int, ratio: float = 1.0) -> bool:
        """Use one retry; return whether this ratio of the budget allowed it."""
        now = self._clock.now()
        bounds = self._bounds
        requests = self._count(self._requests, service).total(now)
        extra = bounds.retry_extra / max(1, routers)
        retries = self._count(self._retries, service)
        limit = bounds.retry_ratio * requests * COUNTED_REQUESTS_RATIO + extra
        if retries.total(now) + 1 > ratio * limit:
            return False
        retries.add(now)
        return True

    def _count(self, counts: dict[ServiceId, "WindowCount"], service: ServiceId) -> "WindowCount":
        """Return the count of a service; create it at the first use."""
        found = counts.get(service)
        if found is None:
            found = counts[service] = WindowCount(self._bounds.retry_window_ms)
        return found


class WindowCount:
    """A count over a sliding window, kept as one number for each part of the window."""

    def __init__(self, window_ms: int):
        self._part_ms = max(1, window_ms // WINDOW_PARTS)
        self._parts: deque[list[int]] = deque()

    def add(self, now: Millis) -> None:
        """Count one."""
        part = now // self._part_ms
        if self._parts and self._parts[-1][0] == part:
            self._parts[-1][1] += 1
        else:
            self._parts.append([part, 1])

    def total(self, now: Millis) -> int:
        """Return the count in the window that ends now."""
        first = now // self._part_ms - WINDOW_PARTS
        while self._parts and self._parts[0][0] < first:
            self._parts.popleft()
        return sum(count for _, count in self._parts)
