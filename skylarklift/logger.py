"""The logger of the package; `telemetry` sets up its handler."""

import time
from collections import Counter

import logbook

log = logbook.Logger("skylarklift")

MAX_LINES_PER_SECOND = 10


class FailureLog:
    """Log failures that are handled, limited to a number of lines per event and second."""

    def __init__(self):
        self._second = 0
        self._line_counts: Counter[str] = Counter()
        self._suppressed: Counter[str] = Counter()

    def record(self, event: str, exc: BaseException, **fields: str) -> None:
        """Log a failure with its cause, or only count it if the event is over its limit.

        The next line of the event reports the count as `left_out`.
        """
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
