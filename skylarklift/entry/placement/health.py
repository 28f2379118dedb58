"""Passive health checks: eject upstreams by the results of requests to them.

An upstream that cannot be reached, breaks connections, or fails clearly more often than the
others of its service is ejected for a time that doubles with each ejection.  After that it
gets one trial request at a time until enough requests in a row have succeeded.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from skylarklift.clock import Clock, Millis
from skylarklift.entry.placement.unanswered import Unanswered
from skylarklift.ids import ReplicaId

FAILURES_TO_EJECT = 3
BROKEN_TO_EJECT = 2
FIRST_EJECTION_MS = 600
MAX_EJECTION_MS = 5000
# An upstream counts as failing if its failure rate, a moving average over about ten results,
# exceeds the median of the others by this much.  If all fail alike, the requests are the cause.
FAILURE_RATE_MARGIN = 0.3
AVERAGE_WEIGHT = 0.1
MIN_RESULTS = 8
# The count of ejections is reset after this many successes in a row.
SUCCESSES_TO_RESET = 5


class HealthSignal(Enum):
    """What one request showed about the health of its upstream."""

    GOOD = "good"
    FAILED = "failed"
    BROKEN = "broken"
    UNREACHABLE = "unreachable"


@dataclass(slots=True)
class UpstreamHealth:
    """The health record of one upstream.

    `maybe_restarted` is true after this or another router could not reach it, until a request
    succeeds.
    """

    failure_rate: float = 0.0
    results: int = 0
    consecutive_failures: int = 0
    consecutive_successes: int = 0
    ejections: int = 0
    ejected_until: Millis = Millis(0)
    trial_running: bool = False
    unreachable: bool = False
    maybe_restarted: bool = False


class Health:
    """The health of all upstreams, from own requests and from reports of other routers."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._records: dict[ReplicaId, UpstreamHealth] = {}
        # Those that may be blocked: few, so that a choice need not look at all upstreams.
        self._ejected_before: set[ReplicaId] = set()
        self.unanswered = Unanswered(clock)

    def record_result(
        self, replica: ReplicaId, signal: HealthSignal, others: Iterable[ReplicaId] = ()
    ) -> bool:
        """Record the result of a request; return whether it ejects the upstream.

        `others` are the upstreams of the same service, to which this one is compared.
        """
        record = self._records.setdefault(replica, UpstreamHealth())
        record.trial_running = False
        record.results += 1
        record.unreachable = signal is HealthSignal.UNREACHABLE
        record.maybe_restarted = record.maybe_restarted and signal is not HealthSignal.GOOD
        bad = signal is not HealthSignal.GOOD
        record.failure_rate += AVERAGE_WEIGHT * (bad - record.failure_rate)
        if not bad:
            record.consecutive_failures = 0
            record.consecutive_successes += 1
            if record.consecutive_successes >= SUCCESSES_TO_RESET:
                record.ejections = 0
            return False
        record.consecutive_failures += 1
        record.consecutive_successes = 0
        if not self._should_eject(record, signal, others):
            return False
        record.maybe_restarted = record.maybe_restarted or signal is HealthSignal.UNREACHABLE
        return self._eject(replica, record)

    def _should_eject(
        self, record: UpstreamHealth, signal: HealthSignal, others: Iterable[ReplicaId]
    ) -> bool:
        """Return whether a failure is reason enough to eject the upstream."""
        if signal is HealthSignal.UNREACHABLE:
            return True
        if signal is HealthSignal.BROKEN:
            return record.consecutive_failures >= BROKEN_TO_EJECT
        typical_rate = self._typical_failure_rate(record, others)
        if record.consecutive_failures >= FAILURES_TO_EJECT:
            return typical_rate <= FAILURE_RATE_MARGIN
        return (
            record.results >= MIN_RESULTS
            and record.failure_rate > typical_rate + FAILURE_RATE_MARGIN
        )

    def _typical_failure_rate(self, record: UpstreamHealth, others: Iterable[ReplicaId]) -> float:
        """Return the median failure rate of the other upstreams of the service."""
        known = [self._records[name] for name in others if name in self._records]
        averages = sorted(
            item.failure_rate for item in known if item is not record and item.results
        )
        return averages[len(averages) // 2] if averages else 0.0

    def _eject(self, replica: ReplicaId, record: UpstreamHealth) -> bool:
        """Eject an upstream, unless it is ejected already; return whether this ejected it."""
        now = self._clock.now()
        if record.ejected_until > now:
            return False
        span = min(FIRST_EJECTION_MS << min(record.ejections, 8), MAX_EJECTION_MS)
        record.ejections += 1
        record.ejected_until = Millis(now + span)
        self._ejected_before.add(replica)
        record.consecutive_failures = 0
        return True

    def apply_reported_ejection(
        self, replica: ReplicaId, left_ms: int, *, maybe_restarted: bool
    ) -> None:
        """Apply an ejection that another router reported."""
        record = self._records.setdefault(replica, UpstreamHealth())
        record.maybe_restarted = record.maybe_restarted or maybe_restarted
        until = self._clock.now() + min(left_ms, MAX_EJECTION_MS)
        record.ejected_until = max(record.ejected_until, Millis(until))
        self._ejected_before.add(replica)

    def allows(self, replica: ReplicaId) -> bool:
        """Return whether a request may be sent; after an ejection, one at a time."""
        record = self._records.get(replica)
        if record is None:
            return True
        if record.ejected_until > self._clock.now():
            return False
        return not (record.ejections and record.trial_running)

    def blocked(self) -> set[ReplicaId]:
        """Return the upstreams to which no request may be sent now."""
        blocked = set()
        for replica in list(self._ejected_before):
            if not self.allows(replica):
                blocked.add(replica)
            elif not self._records[replica].ejections:
                self._ejected_before.discard(replica)
        return blocked

    def reachable(self, replica: ReplicaId) -> bool:
        """Return whether the last request could at least reach the upstream."""
        record = self._records.get(replica)
        return record is None or not record.unreachable

    def maybe_restarted(self, replica: ReplicaId) -> bool:
        """Return whether an upstream may have restarted since its last success."""
        record = self._records.get(replica)
        return record is not None and record.maybe_restarted

    def start_trial(self, replica: ReplicaId) -> None:
        """Record that a request is being sent, a trial if the upstream was ejected before."""
        record = self._records.get(replica)
        if record is not None and record.ejections:
            record.trial_running = True

    def end_trial(self, replica: ReplicaId) -> None:
        """Record that a trial request has ended, even without a result."""
        record = self._records.get(replica)
        if record is not None:
            record.trial_running = False

    def ejected(self) -> dict[ReplicaId, int]:
        """Return the ejected upstreams with the milliseconds left of each ejection."""
        now = self._clock.now()
        return {
            replica: record.ejected_until - now
            for replica, record in self._records.items()
            if record.ejected_until > now
        }

    def forget(self, replica: ReplicaId) -> None:
        """Drop the record of a removed upstream."""
        self._records.pop(replica, None)
        self._ejected_before.discard(replica)
        self.unanswered.record_answer(replica)
