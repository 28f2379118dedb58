"""Requests suspected of crashing upstreams, as the platform's routers report to each other.

A request is identified by its fingerprint, a hash of method, path, workspace and body.
"""

from skylarklift.clock import Clock, Millis
from skylarklift.hashing import body_fingerprint
from skylarklift.ids import Fingerprint, ReplicaId
from skylarklift.upstreams.crashes import CrashTracker

CRASHES_TO_REFUSE = 3
CRASH_TTL_MS = 60000


class CrashSuspects(CrashTracker):
    """Crashes by fingerprint, with those seen by this router for the gossip messages."""

    def __init__(self, clock: Clock):
        super().__init__(clock, CRASHES_TO_REFUSE, CRASH_TTL_MS)
        self._own_crashes: list[tuple[Millis, Fingerprint, ReplicaId]] = []

    def record_own_crash(self, fingerprint: Fingerprint, replica: ReplicaId) -> None:
        """Record a crash that this router saw, and announce it to the others."""
        self._own_crashes.append((self._clock.now(), fingerprint, replica))
        self.record_crash(fingerprint, replica)

    def own_crashes_since(self, since: Millis) -> tuple[tuple[int, str], ...]:
        """Return the crashes that this router saw since a time."""
        limit = self._clock.now() - CRASH_TTL_MS
        self._own_crashes = [item for item in self._own_crashes if item[0] > limit]
        return tuple(
            (fingerprint, replica)
            for seen_at, fingerprint, replica in self._own_crashes
            if seen_at >= since
        )


def call_fingerprint(method: bytes, target: bytes, workspace: str, body: bytes) -> Fingerprint:
    """Return the fingerprint of a request."""
    return body_fingerprint(workspace, b"\0".join((method, target, body)))
