"""How much longer than usual work takes at slow replicas, from their answers.

A machine that a replica shares is slow for about 0.6 s at a time, so a figure loses its weight
within a second.  A slowdown never falls below 1: if a fast replica were preferred, many routers
would turn to the same one.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from skylarklift.clock import Clock, Millis
from skylarklift.entry.model import USUAL_WORK_PERCENT
from skylarklift.entry.placement.report_times import reported_moment
from skylarklift.ids import ReplicaId

# A slowdown returns to 1 in equal steps over this time, unless a new figure arrives.
SLOWDOWN_TTL_MS = 1000
# The weight of a new figure in the moving average; the rest is the slowdown known so far.
NEW_FIGURE_WEIGHT = 0.6
# A figure above this, in percent, counts as this: a false one must not hide a replica entirely.
MAX_WORK_PERCENT = 400
# The other routers learn of a replica at once when its slowdown passes this.
URGENT_SLOWDOWN = 1.4
MAX_REPORTS = 12
MAX_REPLICAS = 2000


@dataclass(frozen=True, slots=True)
class SlowReplica:
    """A replica whose work took `work_percent` of the usual time, as was known `age_ms` ago."""

    replica: ReplicaId
    work_percent: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class Measured:
    """The slowdown of a replica at a moment."""

    slowdown: float
    measured_at: Millis


class ReplicaSpeeds:
    """The slowdowns of the replicas that have answered or were reported lately."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._measured: dict[ReplicaId, Measured] = {}

    def record(self, replica: ReplicaId, work_percent: int) -> bool:
        """Record the figure in an answer; return whether the others are to know at once."""
        known = self.slowdown(replica)
        figure = _slowdown_of(work_percent)
        if figure == 1.0 and replica not in self._measured:
            return False
        slowdown = known + NEW_FIGURE_WEIGHT * (figure - known)
        self._keep(replica, Measured(slowdown, self._clock.now()))
        return known < URGENT_SLOWDOWN <= slowdown

    def apply_report(self, report: SlowReplica) -> None:
        """Apply what another router reported, unless something newer is known."""
        if report.age_ms >= SLOWDOWN_TTL_MS:
            return
        measured_at = reported_moment(self._clock, report.age_ms)
        known = self._measured.get(report.replica)
        if known is None or known.measured_at < measured_at:
            self._keep(report.replica, Measured(_slowdown_of(report.work_percent), measured_at))

    def slowdown(self, replica: ReplicaId) -> float:
        """Return how much longer than usual work takes at a replica now, 1 or more."""
        measured = self._measured.get(replica)
        return 1.0 if measured is None else self._decay(measured)

    def slowdowns(self) -> Mapping[ReplicaId, float]:
        """Return the slowdowns of the replicas that are slow now."""
        self._expire()
        found = {replica: self._decay(item) for replica, item in self._measured.items()}
        return {replica: slowdown for replica, slowdown in found.items() if slowdown > 1}

    def reports(self) -> tuple[SlowReplica, ...]:
        """Return what to report to the other routers, the slowest first if there is too much."""
        now = self._clock.now()
        slowest = sorted(self.slowdowns().items(), key=lambda item: -item[1])
        return tuple(
            SlowReplica(
                replica,
                round(USUAL_WORK_PERCENT * self._measured[replica].slowdown),
                now - self._measured[replica].measured_at,
            )
            for replica, _ in slowest[:MAX_REPORTS]
        )

    def _keep(self, replica: ReplicaId, measured: Measured) -> None:
        """Keep a measured slowdown, as long as there are not too many."""
        if replica not in self._measured and len(self._measured) >= MAX_REPLICAS:
            self._expire()
            if len(self._measured) >= MAX_REPLICAS:
                return
        self._measured[replica] = measured

    def _decay(self, measured: Measured) -> float:
        """Return what is left of a measured slowdown."""
        left_ms = measured.measured_at + SLOWDOWN_TTL_MS - self._clock.now()
        return 1 + (measured.slowdown - 1) * max(0, left_ms) / SLOWDOWN_TTL_MS

    def _expire(self) -> None:
        """Drop what is too old to count."""
        limit = self._clock.now() - SLOWDOWN_TTL_MS
        for replica, item in list(self._measured.items()):
            if item.measured_at <= limit:
                del self._measured[replica]


def _slowdown_of(work_percent: int) -> float:
    """Return the slowdown that a figure stands for."""
    bounded = min(max(work_percent, USUAL_WORK_PERCENT), MAX_WORK_PERCENT)
    return bounded / USUAL_WORK_PERCENT
