"""Whether an upstream does its work, judged by what requests to it showed.

An upstream that cannot be reached, breaks connections, or fails clearly more often than the
others of its service is left alone for a span that doubles each time, then tried with one
request at a time until some went well.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from skylarklift.clock import Clock, Millis
from skylarklift.ids import ReplicaId

FAILURES_TO_EJECT = 3
BROKEN_TO_EJECT = 2
FIRST_EJECTION_MS = 600
LONGEST_EJECTION_MS = 5000
# An upstream counts as failing when its share of failures, as a moving average over some ten
# answers, is this far above that of the others; what all fail is the requests' own fault.
FAILING_MORE = 0.3
AVERAGE_WEIGHT = 0.1
FEWEST_ANSWERS = 8
# Trust in a replica that was ejected comes back after this many answers without a failure.
GOOD_TO_FORGET = 5


class Sign(Enum):
    """What one request showed of its upstream."""

    GOOD = "good"
    FAILED = "failed"
    BROKEN = "broken"
    UNREACHABLE = "unreachable"


@dataclass(slots=True)
class Record:
    """The evidence on one upstream."""

    average: float = 0.0
    answers: int = 0
    in_row: int = 0
    good_in_row: int = 0
    ejections: int = 0
    until: Millis = Millis(0)
    trial: bool = False
    unreachable: bool = False
    # It could not be reached, so it may have started anew since.
    lost: bool = False


class Health:
    """The evidence of this router and of what others told."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._records: dict[ReplicaId, Record] = {}

    def note(self, replica: ReplicaId, sign: Sign, others: Iterable[ReplicaId] = ()) -> bool:
        """Take in what a request showed; tell whether the upstream is ejected by it.

        `others` are the upstreams of the same service, to which it is compared.
        """
        record = self._records.setdefault(replica, Record())
        record.trial = False
        record.answers += 1
        record.unreachable = sign is Sign.UNREACHABLE
        record.lost = record.lost and sign is not Sign.GOOD
        bad = sign is not Sign.GOOD
        record.average += AVERAGE_WEIGHT * (bad - record.average)
        if not bad:
            record.in_row = 0
            record.good_in_row += 1
            if record.good_in_row >= GOOD_TO_FORGET:
                record.ejections = 0
            return False
        record.in_row += 1
        record.good_in_row = 0
        if not self._failing(record, sign, others):
            return False
        record.lost = record.lost or sign is Sign.UNREACHABLE
        return self._eject(record)

    def _failing(self, record: Record, sign: Sign, others: Iterable[ReplicaId]) -> bool:
        """Tell whether a failure is one too many."""
        if sign is Sign.UNREACHABLE:
            return True
        if sign is Sign.BROKEN:
            return record.in_row >= BROKEN_TO_EJECT
        usual = self._usual(record, others)
        if record.in_row >= FAILURES_TO_EJECT:
            return usual <= FAILING_MORE
        return record.answers >= FEWEST_ANSWERS and record.average > usual + FAILING_MORE

    def _usual(self, record: Record, others: Iterable[ReplicaId]) -> float:
        """Return the share of failures at the other upstreams of the service."""
        known = [self._records[name] for name in others if name in self._records]
        averages = sorted(item.average for item in known if item is not record and item.answers)
        return averages[len(averages) // 2] if averages else 0.0

    def _eject(self, record: Record) -> bool:
        """Leave an upstream alone for a while."""
        now = self._clock.now()
        if record.until > now:
            return False
        span = min(FIRST_EJECTION_MS << min(record.ejections, 8), LONGEST_EJECTION_MS)
        record.ejections += 1
        record.until = Millis(now + span)
        record.in_row = 0
        return True

    def told_ejected(self, replica: ReplicaId, left_ms: int, *, lost: bool) -> None:
        """Take another router's word that an upstream is to be left alone for a while."""
        record = self._records.setdefault(replica, Record())
        record.lost = record.lost or lost
        until = self._clock.now() + min(left_ms, LONGEST_EJECTION_MS)
        record.until = max(record.until, Millis(until))

    def allows(self, replica: ReplicaId) -> bool:
        """Tell whether a request may be sent; after an ejection, one at a time."""
        record = self._records.get(replica)
        if record is None:
            return True
        if record.until > self._clock.now():
            return False
        return not (record.ejections and record.trial)

    def reachable(self, replica: ReplicaId) -> bool:
        """Tell whether an upstream that is left alone could at least be reached."""
        record = self._records.get(replica)
        return record is None or not record.unreachable

    def lost(self, replica: ReplicaId) -> bool:
        """Tell whether an upstream may have started anew since it last did well."""
        record = self._records.get(replica)
        return record is not None and record.lost

    def start_trial(self, replica: ReplicaId) -> None:
        """Note that a request is being sent, which shows whether an upstream is well again."""
        record = self._records.get(replica)
        if record is not None and record.ejections:
            record.trial = True

    def end_trial(self, replica: ReplicaId) -> None:
        """Note that a request ended without showing anything."""
        record = self._records.get(replica)
        if record is not None:
            record.trial = False

    def ejected(self) -> dict[ReplicaId, int]:
        """Return the upstreams left alone, with the milliseconds left."""
        now = self._clock.now()
        return {
            replica: record.until - now
            for replica, record in self._records.items()
            if record.until > now
        }

    def forget(self, replica: ReplicaId) -> None:
        """Forget an upstream that is gone."""
        self._records.pop(replica, None)
