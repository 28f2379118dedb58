"""The limits that upstreams name on the requests a second from all routers together.

Routers report to each other what upstreams name.  Each limit is divided among the routers that come
first in an order known to all, few enough that each has a usable share.  A share is a token
bucket that starts empty, so that a router that has just started or just learned of a limit adds
nothing to what the others send.
"""

from collections.abc import Container, Iterable
from dataclasses import dataclass

from skylarklift.clock import MS_PER_SECOND, Clock, Millis
from skylarklift.entry.placement.fleet_limits import FleetShare
from skylarklift.entry.placement.report_times import LIMIT_RELAY_DELAY_MS, reported_moment
from skylarklift.ids import ReplicaId

# The buckets of all routers together hold what a limit allows in this time, and some more, so that
# each of several routers can hold a whole request.
BURST_MS = 1000
BURST_REQUESTS = 4
# Of an upstream that is no longer listed nothing is kept that is older than this.
UNLISTED_TTL_MS = 60_000
# That a limit was lifted is reported to the other routers for this long.
LIFTED_REPORT_MS = 30_000
# An upstream that names less is tried at this rate, so that its answers can lift the limit.
MIN_PER_SECOND = 1 / 60
MAX_REPORTS = 500


@dataclass(frozen=True, slots=True)
class LimitReport:
    """What a router reports of an upstream's limit, in requests a second, seen `age_ms` ago.

    `per_second` is `None` if the limit was lifted.
    """

    replica: ReplicaId
    per_second: float | None
    age_ms: int


@dataclass(slots=True)
class NamedLimit:
    """The limit that an upstream named last, and this router's tokens under it.

    `per_second` is `None` after the limit was lifted.  `observed_at` is when an answer named it,
    or when the request was sent whose answer lifted it.
    """

    per_second: float | None
    observed_at: Millis
    filled_at: Millis
    tokens: float = 0.0


class RateLimits:
    """The limits that upstreams name, as this router knows them, and its shares of them."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._limits: dict[ReplicaId, NamedLimit] = {}

    def record_named(self, replica: ReplicaId, per_second: float) -> bool:
        """Record the limit in an answer; return whether the upstream had named none before."""
        return self._update(replica, per_second, self._clock.now())

    def record_lifted(self, replica: ReplicaId, sent_at: Millis) -> bool:
        """Record that the answer to a request sent at `sent_at` names no limit.

        Return whether this lifts a limit.  An answer to a request that was sent before the limit
        was last named does not: it may have been on the way.
        """
        if not self.is_limited(replica) or sent_at <= self._limits[replica].observed_at:
            return False
        return self._update(replica, None, sent_at)

    def apply_report(self, report: LimitReport) -> bool:
        """Apply what another router reported; return whether a limit is new or lifted by it."""
        observed_at = reported_moment(self._clock, report.age_ms, LIMIT_RELAY_DELAY_MS)
        known = self._limits.get(report.replica)
        if known is not None and observed_at <= known.observed_at:
            return False
        return self._update(report.replica, report.per_second, observed_at)

    def _update(self, replica: ReplicaId, per_second: float | None, observed_at: Millis) -> bool:
        """Set a limit, keeping the tokens; return whether it is new, or was lifted."""
        known = self._limits.get(replica)
        if known is None:
            known = NamedLimit(None, observed_at, self._clock.now())
            self._limits[replica] = known
        was_limited = known.per_second is not None
        if not was_limited:
            known.tokens, known.filled_at = 0.0, self._clock.now()
        known.per_second, known.observed_at = per_second, observed_at
        return was_limited != (per_second is not None)

    def is_limited(self, replica: ReplicaId) -> bool:
        """Return whether an upstream names a limit."""
        known = self._limits.get(replica)
        return known is not None and known.per_second is not None

    def allows(self, replica: ReplicaId, share: FleetShare) -> bool:
        """Return whether this router may send one more request to an upstream with a limit."""
        return self._refill(self._limits[replica], share) >= 1

    def is_full(self, replica: ReplicaId, share: FleetShare) -> bool:
        """Return whether this router's share has no room for more tokens."""
        limit = self._limits[replica]
        tokens = self._refill(limit, share)
        return tokens >= 1 and tokens >= _capacity(limit.per_second, share)

    def record_request(self, replica: ReplicaId) -> None:
        """Record a request that is being sent."""
        known = self._limits.get(replica)
        if known is not None and known.per_second is not None:
            known.tokens -= 1

    def _refill(self, limit: NamedLimit, share: FleetShare) -> float:
        """Add the tokens that have accrued since the last time, and return their number."""
        now = self._clock.now()
        elapsed_ms, limit.filled_at = now - limit.filled_at, now
        holders = _holder_count(limit.per_second, share)
        if not share.usable or share.rank >= holders:
            limit.tokens = 0.0
            return 0.0
        per_second = max(limit.per_second, MIN_PER_SECOND)
        accrued = per_second / holders * elapsed_ms / MS_PER_SECOND
        limit.tokens = min(limit.tokens + accrued, _capacity(limit.per_second, share))
        return limit.tokens

    def limited(self) -> Iterable[ReplicaId]:
        """Return the upstreams that name a limit."""
        if not self._limits:
            return ()
        return [replica for replica, limit in self._limits.items() if limit.per_second is not None]

    def named(self) -> dict[ReplicaId, float]:
        """Return the limits in force, in requests a second."""
        return {
            replica: limit.per_second
            for replica, limit in self._limits.items()
            if limit.per_second is not None
        }

    def reports(self) -> tuple[LimitReport, ...]:
        """Return what to report to the other routers, the newest first if there is too much."""
        now = self._clock.now()
        reported = [
            item
            for item in self._limits.items()
            if item[1].per_second is not None or item[1].observed_at > now - LIFTED_REPORT_MS
        ]
        newest = sorted(reported, key=lambda item: -item[1].observed_at)
        return tuple(
            LimitReport(replica, limit.per_second, now - limit.observed_at)
            for replica, limit in newest[:MAX_REPORTS]
        )

    def expire(self, listed: Container[ReplicaId]) -> list[ReplicaId]:
        """Drop the limits of upstreams that are gone; return those that had named one.

        An upstream that is listed may still need its limit, however long it has got no request.
        """
        limit = self._clock.now() - UNLISTED_TTL_MS
        ended = []
        for replica, known in list(self._limits.items()):
            if replica not in listed and known.observed_at <= limit:
                del self._limits[replica]
                if known.per_second is not None:
                    ended.append(replica)
        return ended


def _burst(per_second: float) -> float:
    """Return how many tokens the buckets of all routers may hold together."""
    return per_second * BURST_MS / MS_PER_SECOND + BURST_REQUESTS


def _holder_count(per_second: float, share: FleetShare) -> int:
    """Return how many routers share a limit."""
    return min(share.routers, int(_burst(per_second)))


def _capacity(per_second: float, share: FleetShare) -> float:
    """Return how many tokens the bucket of one of the routers that share a limit may hold."""
    return _burst(per_second) / _holder_count(per_second, share)
