"""The requests that crash upstreams, as the routers of the platform tell each other.

A request is known by its fingerprint: method, path, workspace and body.
"""

from skylarklift.clock import Clock, Millis
from skylarklift.hashing import body_fingerprint
from skylarklift.ids import Fingerprint, ReplicaId
from skylarklift.upstreams.crashes import CrashTracker

CRASHES_TO_REFUSE = 3
KEEP_MS = 60000


class CrashSuspects(CrashTracker):
    """Crashes by fingerprint, with those seen here that the others are to hear of."""

    def __init__(self, clock: Clock):
        super().__init__(clock, CRASHES_TO_REFUSE, KEEP_MS)
        self._own: list[tuple[Millis, Fingerprint, ReplicaId]] = []

    def see(self, fingerprint: Fingerprint, replica: ReplicaId) -> None:
        """Note a crash that this router saw, and tell the others of it."""
        self._own.append((self._clock.now(), fingerprint, replica))
        self.record_crash(fingerprint, replica)

    def news(self, since: Millis) -> tuple[tuple[int, str], ...]:
        """Return the crashes seen here from a moment on, for the other routers."""
        limit = self._clock.now() - KEEP_MS
        self._own = [item for item in self._own if item[0] > limit]
        return tuple((mark, replica) for moment, mark, replica in self._own if moment >= since)


def call_fingerprint(method: bytes, target: bytes, workspace: str, body: bytes) -> Fingerprint:
    """Return a number that is equal for equal requests."""
    return body_fingerprint(workspace, b"\0".join((method, target, body)))
