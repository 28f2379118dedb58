"""The cold periods of upstreams, and which entries other routers need to know them."""

from skylarklift.clock import Clock, Millis
from skylarklift.entry.state.upstream import Upstream
from skylarklift.ids import ReplicaId

# Each heartbeat names the rest of a cold period, and takes its time to arrive.
ARRIVAL_JITTER_MS = 250


class ColdPeriods:
    """Extend cold periods by what entries, answers and events of zones say.

    A router may know that an upstream is cold before its entry says so, while others know it by
    the entry only.  So the periods that entries name are kept apart.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        # The ends of the cold periods by those entries that were reported as changes.
        self._reported_until: dict[ReplicaId, Millis] = {}

    def extend(self, upstream: Upstream, span_ms: int) -> None:
        """Treat an upstream as cold for at least `span_ms` from now."""
        until = Millis(self._clock.now() + span_ms)
        upstream.cold_until = max(upstream.cold_until, until)

    def apply_entry(self, upstream: Upstream, span_ms: int) -> bool:
        """Apply the rest of a cold period in an entry; return whether others need that entry."""
        if span_ms <= 0:
            return False
        now, replica = self._clock.now(), upstream.record.replica
        until, reported_until = Millis(now + span_ms), self._reported_until.get(replica, now)
        self.extend(upstream, span_ms)
        if reported_until > now and until <= reported_until + ARRIVAL_JITTER_MS:
            return False
        self._reported_until[replica] = until
        return True

    def forget(self, replica: ReplicaId) -> None:
        """Drop what is kept about a removed upstream."""
        self._reported_until.pop(replica, None)
