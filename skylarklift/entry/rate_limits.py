"""The limits that upstreams name on the requests a second from all routers together."""

from dataclasses import dataclass

from skylarklift.clock import Clock, Millis
from skylarklift.ids import ReplicaId


@dataclass(slots=True)
class NamedLimit:
    """The limit that an upstream named last, in requests a second, and when it was seen."""

    per_second: float
    observed_at: Millis


class RateLimits:
    """The limits that upstreams name, as this router knows them."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._limits: dict[ReplicaId, NamedLimit] = {}

    def record_named(self, replica: ReplicaId, per_second: float) -> bool:
        """Record the limit in an answer; return whether the upstream had named none before."""
        known = self._limits.get(replica)
        self._limits[replica] = NamedLimit(per_second, self._clock.now())
        return known is None

    def record_lifted(self, replica: ReplicaId) -> bool:
        """Record an answer without a limit; return whether the upstream had named one before."""
        return self._limits.pop(replica, None) is not None

    def is_limited(self, replica: ReplicaId) -> bool:
        """Return whether an upstream names a limit."""
        return replica in self._limits

    def named(self) -> dict[ReplicaId, float]:
        """Return the limits in requests a second."""
        return {replica: limit.per_second for replica, limit in self._limits.items()}

    def forget(self, replica: ReplicaId) -> None:
        """Drop the limit of a removed upstream."""
        self._limits.pop(replica, None)
