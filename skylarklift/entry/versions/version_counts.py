"""How many replicas of each software version a service has had lately, and will soon have.

Proportions are used for streams that nominally began after they were written, and so a while later.
A version that loses replicas meanwhile would get too many streams, so it counts with as many as it
will have if it goes on losing them.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from skylarklift.clock import Clock, Millis
from skylarklift.ids import ServiceId, SoftwareVersion

# Numbers are remembered for this long; no nominal start lies further back on average.
MAX_AHEAD_MS = 10_000
# Proportions that expect fewer replicas hold for this long, unless others become right.
FORECAST_TTL_MS = 4000

VersionCounts = Mapping[SoftwareVersion, int]


@dataclass(frozen=True, slots=True)
class SeenCounts:
    """The numbers of a service's replicas since a moment."""

    seen_at: Millis
    counts: VersionCounts


class CountHistory:
    """The numbers of replicas of each version of services, as this router saw them."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._seen: dict[ServiceId, deque[SeenCounts]] = {}

    def record(self, service: ServiceId, counts: VersionCounts) -> None:
        """Record the numbers of now."""
        now = self._clock.now()
        seen = self._seen.setdefault(service, deque())
        if not seen or seen[-1].counts != counts:
            seen.append(SeenCounts(now, dict(counts)))
        # The first one that is kept may have begun earlier.
        while len(seen) > 1 and seen[1].seen_at <= now - MAX_AHEAD_MS:
            seen.popleft()

    def forecast(
        self, service: ServiceId, counts: VersionCounts, ahead_ms: int
    ) -> dict[SoftwareVersion, int]:
        """Return the numbers `ahead_ms` from now, if versions lose as many as in the time before.

        One that has replicas counts with one at least; those that gain some count as they are.
        """
        before = self._counts_at(service, Millis(self._clock.now() - ahead_ms))
        return {
            version: max(min(count, 1), count - max(0, before.get(version, 0) - count))
            for version, count in counts.items()
        }

    def _counts_at(self, service: ServiceId, moment: Millis) -> VersionCounts:
        """Return the numbers of a moment, the oldest ones known for an earlier one."""
        seen = self._seen.get(service, deque())
        known = [item.counts for item in seen if item.seen_at <= moment]
        return known[-1] if known else seen[0].counts if seen else {}


def is_forecast_of(weights: VersionCounts, counts: VersionCounts) -> bool:
    """Return whether proportions may be those expected when there are so many replicas."""
    if weights.keys() != counts.keys():
        return False
    return all(min(count, 1) <= weights[version] <= count for version, count in counts.items())
