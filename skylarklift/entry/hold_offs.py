"""Upstreams that asked this router to send them nothing for some time."""

from collections.abc import Iterable

from skylarklift.clock import Clock, Millis
from skylarklift.ids import ReplicaId

# An upstream that asks for more is asked again after this long.
MAX_HOLD_OFF_MS = 600_000


class HoldOffs:
    """Until when each upstream wants no request from this router."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._until: dict[ReplicaId, Millis] = {}

    def record(self, replica: ReplicaId, span_ms: int) -> bool:
        """Record that an upstream wants nothing for a time; return whether it had not said so."""
        now = self._clock.now()
        until = Millis(now + min(span_ms, MAX_HOLD_OFF_MS))
        known = self._until.get(replica, Millis(0))
        self._until[replica] = max(known, until)
        return known <= now

    def active(self) -> set[ReplicaId]:
        """Return the upstreams that want no request now."""
        if not self._until:
            return set()
        now = self._clock.now()
        for replica, until in list(self._until.items()):
            if until <= now:
                del self._until[replica]
        return set(self._until)

    def shortest_ms(self, replicas: Iterable[ReplicaId]) -> int:
        """Return the time until the first of some upstreams wants requests again."""
        now = self._clock.now()
        return min((max(0, self._until.get(name, now) - now) for name in replicas), default=0)

    def left_ms(self) -> dict[ReplicaId, int]:
        """Return the time for which each upstream wants no request."""
        now = self._clock.now()
        return {name: self._until[name] - now for name in sorted(self.active())}

    def forget(self, replica: ReplicaId) -> None:
        """Drop what an upstream said before it ended or started again."""
        self._until.pop(replica, None)
