"""Recognise a request that crashes upstreams, so that no more of them run it.

A request is known by its fingerprint, so that a resend, or the same request at
another router, is recognised.  Crashes at different replicas count.
"""

from skylarklift.clock import Clock, Millis
from skylarklift.ids import Fingerprint, ReplicaId

MOST_ENTRIES = 2000


class CrashCounts:
    """Crashes by request, of this router and of those that told of theirs.

    A request is refused once it crashed `limit` replicas within the last `keep_ms`.
    """

    def __init__(self, clock: Clock, limit: int, keep_ms: int):
        self._clock = clock
        self._limit = limit
        self._keep_ms = keep_ms
        self._crashes: dict[Fingerprint, dict[ReplicaId, Millis]] = {}

    def note(self, fingerprint: Fingerprint, replica: ReplicaId, age_ms: int = 0) -> None:
        """Note that a replica crashed `age_ms` ago while it ran the request."""
        if not fingerprint:
            return
        moment = Millis(self._clock.now() - age_ms)
        seen = self._crashes.setdefault(fingerprint, {})
        seen[replica] = max(moment, seen.get(replica, moment))
        while len(self._crashes) > MOST_ENTRIES:
            del self._crashes[next(iter(self._crashes))]

    def crashes(self, fingerprint: Fingerprint) -> int:
        """Return at how many replicas the request was in a crash of late."""
        seen = self._crashes.get(fingerprint)
        if not seen:
            return 0
        limit = self._clock.now() - self._keep_ms
        kept = {name: moment for name, moment in seen.items() if moment > limit}
        if kept:
            self._crashes[fingerprint] = kept
        else:
            del self._crashes[fingerprint]
        return len(kept)

    def refuses(self, fingerprint: Fingerprint) -> bool:
        """Tell whether the request is not to be sent again."""
        return self.crashes(fingerprint) >= self._limit
