"""Decide which repeats of a failure are logged."""

from collections import Counter

from skylarklift.clock import Clock, Millis

# A failure that goes on is logged again after this long.
REPEAT_INTERVAL_MS = 60_000
MAX_CAUSES = 16


class FailureReports:
    """Log a failure at once when its cause is new, and rarely while it goes on."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._reported_at: dict[str, Millis] = {}
        self._counts: Counter[str] = Counter()

    def record(self, cause: str) -> int:
        """Record a failure; return how many to log, which is 0 if it is not to be logged."""
        if cause not in self._reported_at and len(self._reported_at) >= MAX_CAUSES:
            return 0
        self._counts[cause] += 1
        now = self._clock.now()
        reported_at = self._reported_at.get(cause)
        if reported_at is not None and now - reported_at < REPEAT_INTERVAL_MS:
            return 0
        self._reported_at[cause] = now
        return self._counts.pop(cause)
