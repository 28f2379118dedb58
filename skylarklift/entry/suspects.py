"""Recognise a request that crashes upstreams, so that no more of them run it.

A request is known by its fingerprint: method, path, workspace and body.  Only crashes that
were seen to be crashes count, each at another replica.
"""

from skylarklift.clock import Clock, Millis
from skylarklift.hashing import body_fingerprint
from skylarklift.ids import Fingerprint, ReplicaId

CRASHES_TO_REFUSE = 3
KEEP_MS = 60000
MOST_ENTRIES = 2000
TOLD_FOR_MS = 3000


class CrashSuspects:
    """Crashes by fingerprint, of this router and of those that told of theirs."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._crashes: dict[Fingerprint, dict[ReplicaId, Millis]] = {}
        self._own: list[tuple[Millis, Fingerprint, ReplicaId]] = []

    def note(self, fingerprint: Fingerprint, replica: ReplicaId) -> None:
        """Note a crash that this router saw."""
        self._own.append((self._clock.now(), fingerprint, replica))
        self.told(fingerprint, replica)

    def told(self, fingerprint: Fingerprint, replica: ReplicaId) -> None:
        """Note a crash that this or another router saw."""
        now = self._clock.now()
        self._crashes.setdefault(fingerprint, {}).setdefault(replica, now)
        if len(self._crashes) > MOST_ENTRIES:
            del self._crashes[next(iter(self._crashes))]

    def crashes(self, fingerprint: Fingerprint) -> int:
        """Return at how many replicas the request was in a crash."""
        seen = self._crashes.get(fingerprint)
        if not seen:
            return 0
        limit = self._clock.now() - KEEP_MS
        return sum(moment > limit for moment in seen.values())

    def refuses(self, fingerprint: Fingerprint) -> bool:
        """Tell whether the request is not to be sent again."""
        return self.crashes(fingerprint) >= CRASHES_TO_REFUSE

    def news(self) -> tuple[tuple[int, str], ...]:
        """Return the crashes seen here of late, for the other routers."""
        limit = self._clock.now() - TOLD_FOR_MS
        self._own = [item for item in self._own if item[0] > limit]
        return tuple((fingerprint, replica) for _, fingerprint, replica in self._own)


def call_fingerprint(method: bytes, target: bytes, workspace: str, body: bytes) -> Fingerprint:
    """Return a number that is equal for equal requests."""
    return body_fingerprint(workspace, b"\0".join((method, target, body)))
