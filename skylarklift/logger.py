"""The logger of the package; its handler is set up by `telemetry`."""

import time
from collections import Counter

import logbook

log = logbook.Logger("skylarklift")

MAX_LINES_PER_SECOND = 10


class FailureLog:
    """Log failures that are coped with, each kind a bounded number of times a second."""

    def __init__(self):
        self._second = 0
        self._line_counts: Counter[str] = Counter()
        self._suppressed: Counter[str] = Counter()

    def record(self, event: str, exc: BaseException, **fields: str) -> None:
        """Log one failure and what it concerned, unless too many of its kind came just now."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._line_counts.clear()
        self._line_counts[event] += 1
        if self._line_counts[event] > MAX_LINES_PER_SECOND:
            self._suppressed[event] += 1
            return
        cause = f"{type(exc).__name__}: {exc}"
        log.warning(event, cause=cause, left_out=self._suppressed.pop(event, 0), **fields)


FAILURES = FailureLog()
