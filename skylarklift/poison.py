"""Recognise a request that crashes upstreams, and refuse it before it takes another.

A request is known by its fingerprint, so that a resend, or the same request at
another router, is recognised.  Crashes at different replicas count; entries end
after a set time.
"""

from skylarklift.clock import Clock, Millis
from skylarklift.generated import RetrySettings
from skylarklift.ids import Fingerprint, ReplicaId

ENTRY_LIMIT = 10_000


class PoisonList:
    """Crashes by request fingerprint."""

    def __init__(self, clock: Clock, cfg: RetrySettings):
        self._clock = clock
        self._cfg = cfg
        self._crashes: dict[Fingerprint, dict[ReplicaId, Millis]] = {}

    def note_crash(self, fingerprint: Fingerprint, replica: ReplicaId, age_ms: int = 0) -> None:
        """Note that a replica crashed while it ran the request."""
        if not fingerprint:
            return
        self._drop_ended()
        seen = self._crashes.setdefault(fingerprint, {})
        seen[replica] = Millis(self._clock.now() - age_ms)
        while len(self._crashes) > ENTRY_LIMIT:
            del self._crashes[next(iter(self._crashes))]

    def is_poisoned(self, fingerprint: Fingerprint) -> bool:
        """Tell whether the request crashed as many replicas as may be risked."""
        self._drop_ended()
        return len(self._crashes.get(fingerprint, ())) >= self._cfg.poison_crashes

    def crashed_replicas(self, fingerprint: Fingerprint) -> frozenset[ReplicaId]:
        """Return the replicas that crashed on the request."""
        return frozenset(self._crashes.get(fingerprint, ()))

    def __len__(self) -> int:
        return len(self._crashes)

    def _drop_ended(self) -> None:
        """Forget crashes that are too old."""
        limit = self._clock.now() - self._cfg.poison_keep_ms
        for fingerprint, seen in list(self._crashes.items()):
            kept = {name: moment for name, moment in seen.items() if moment > limit}
            if kept:
                self._crashes[fingerprint] = kept
            else:
                del self._crashes[fingerprint]
