"""Recognize poison requests, which crash upstreams, so that they are not sent again.

A request is identified by its fingerprint, so that a resend and the same request at
another router are recognized.  Only crashes of different replicas are counted.
"""

from skylarklift.clock import Clock, Millis
from skylarklift.ids import Fingerprint, ReplicaId

MAX_TRACKED_REQUESTS = 2000


class CrashTracker:
    """Crashes by request, seen by this router or reported by others.

    A request is poisoned once it crashed `limit` replicas within the last `keep_ms`.
    """

    def __init__(self, clock: Clock, limit: int, keep_ms: int):
        self._clock = clock
        self._limit = limit
        self._keep_ms = keep_ms
        self._crashes: dict[Fingerprint, dict[ReplicaId, Millis]] = {}

    def record_crash(self, fingerprint: Fingerprint, replica: ReplicaId, age_ms: int = 0) -> None:
        """Record that a replica crashed `age_ms` ago while it ran the request."""
        if not fingerprint:
            return
        crashed_at = Millis(self._clock.now() - age_ms)
        by_replica = self._crashes.setdefault(fingerprint, {})
        by_replica[replica] = max(crashed_at, by_replica.get(replica, crashed_at))
        while len(self._crashes) > MAX_TRACKED_REQUESTS:
            del self._crashes[next(iter(self._crashes))]

    def recent_crashes(self, fingerprint: Fingerprint) -> int:
        """Return how many replicas the request crashed within the last `keep_ms`."""
        by_replica = self._crashes.get(fingerprint)
        if not by_replica:
            return 0
        oldest = self._clock.now() - self._keep_ms
        kept = {name: moment for name, moment in by_replica.items() if moment > oldest}
        if kept:
            self._crashes[fingerprint] = kept
        else:
            del self._crashes[fingerprint]
        return len(kept)

    def is_poisoned(self, fingerprint: Fingerprint) -> bool:
        """Return whether the request has crashed too many replicas to be sent again."""
        return self.recent_crashes(fingerprint) >= self._limit
