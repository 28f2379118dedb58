"""Whether an upstream does its work, judged by what requests to it showed.

Each failure halves the trust in an upstream, each success gives some of it back.  One that
lost its trust is left alone for a span that doubles each time, then tried with one request.
"""

from dataclasses import dataclass
from enum import Enum

from skylarklift.clock import Clock, Millis
from skylarklift.ids import ReplicaId

FAILURES_TO_EJECT = 3
FIRST_EJECTION_MS = 600
LONGEST_EJECTION_MS = 5000
# The share of failures, as a moving average over some ten answers, above which an upstream
# counts as failing though some answers are good.
FAILING_SHARE = 0.3
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


class Health:
    """The evidence of this router and of what others told."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._records: dict[ReplicaId, Record] = {}

    def note(self, replica: ReplicaId, sign: Sign) -> bool:
        """Take in what a request showed; tell whether the upstream is ejected by it."""
        record = self._records.setdefault(replica, Record())
        record.trial = False
        record.answers += 1
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
        if not self._failing(record, sign):
            return False
        return self._eject(record)

    def _failing(self, record: Record, sign: Sign) -> bool:
        """Tell whether a failure is one too many."""
        if sign is Sign.UNREACHABLE:
            return True
        if sign is Sign.BROKEN:
            return record.in_row >= 2
        if record.in_row >= FAILURES_TO_EJECT:
            return True
        return record.answers >= FEWEST_ANSWERS and record.average > FAILING_SHARE

    def _eject(self, record: Record) -> bool:
        """Leave an upstream alone for a while."""
        now = self._clock.now()
        if record.until > now:
            return False
        span = min(FIRST_EJECTION_MS << min(record.ejections, 8), LONGEST_EJECTION_MS)
        record.ejections += 1
        record.until = Millis(now + span)
        record.in_row = 0
        record.average = 0.0
        record.answers = 0
        return True

    def told_ejected(self, replica: ReplicaId, left_ms: int) -> None:
        """Take another router's word that an upstream is to be left alone for a while."""
        record = self._records.setdefault(replica, Record())
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
