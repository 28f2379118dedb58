"""The loads of busy upstreams, as these tell them in their answers.

What routers report of their own requests is old in a large fleet.  The answer of a replica tells
its load now.  If that is above the bound for chats, it is reported to the others; few replicas
are at any moment, so the reports stay small.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from skylarklift.clock import Clock, Millis
from skylarklift.entry.placement.report_times import reported_moment
from skylarklift.ids import ReplicaId

# An observed load counts for this long: about as long as streams last.
OBSERVED_LOAD_TTL_MS = 1000
MAX_REPORTS = 12
# A load from this multiple of the bound on is passed on at once, others with the next message.
URGENT_LOAD_RATIO = 2.0


@dataclass(frozen=True, slots=True)
class ObservedLoad:
    """The requests at an upstream, running or waiting, as it answered `age_ms` ago.

    It is `urgent` if the upstream is so far above its bound that all are to know at once.
    """

    replica: ReplicaId
    load: int
    age_ms: int
    urgent: bool = False


@dataclass(frozen=True, slots=True)
class Observation:
    """The load of an upstream at a moment."""

    load: int
    observed_at: Millis
    urgent: bool


class ObservedLoads:
    """The newest observed load of each busy upstream."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._observations: dict[ReplicaId, Observation] = {}

    def record(self, replica: ReplicaId, load: int, busy_load: float) -> bool:
        """Record the load in an answer; return whether the other routers are to know at once."""
        known = self._observations.get(replica)
        if load < busy_load:
            # It is no longer busy; what others know of it expires soon.
            self._observations.pop(replica, None)
            return False
        self._observations[replica] = Observation(
            load, self._clock.now(), load >= URGENT_LOAD_RATIO * busy_load
        )
        return known is None

    def apply_report(self, report: ObservedLoad) -> bool:
        """Apply what another router reported, unless something newer is known.

        Return whether the others are to know at once, as the upstream is far above its bound.
        """
        if report.age_ms >= OBSERVED_LOAD_TTL_MS:
            return False
        observed_at = reported_moment(self._clock, report.age_ms)
        known = self._observations.get(report.replica)
        if known is None or known.observed_at < observed_at:
            self._observations[report.replica] = Observation(
                report.load, observed_at, report.urgent
            )
        return known is None and report.urgent

    def loads(self) -> Mapping[ReplicaId, int]:
        """Return the observed loads that still count."""
        self._expire()
        return {replica: item.load for replica, item in self._observations.items()}

    def reports(self) -> tuple[ObservedLoad, ...]:
        """Return what to report to the other routers, the newest first if there is too much."""
        self._expire()
        now = self._clock.now()
        newest = sorted(self._observations.items(), key=lambda item: -item[1].observed_at)
        return tuple(
            ObservedLoad(replica, item.load, now - item.observed_at, item.urgent)
            for replica, item in newest[:MAX_REPORTS]
        )

    def _expire(self) -> None:
        """Drop what is too old to count."""
        limit = self._clock.now() - OBSERVED_LOAD_TTL_MS
        for replica, item in list(self._observations.items()):
            if item.observed_at <= limit:
                del self._observations[replica]
