"""The logger of the package; its handler is set up by `telemetry`."""

import time
from collections import Counter

import logbook

log = logbook.Logger("skylarklift")

LINES_A_SECOND = 10


class FailureNotes:
    """Log failures that are coped with, each kind a bounded number of times a second."""

    def __init__(self):
        self._second = 0
        self._lines: Counter[str] = Counter()
        self._left_out: Counter[str] = Counter()

    def note(self, event: str, exc: BaseException, **fields: str) -> None:
        """Log one failure and what it concerned, unless too many of its kind came just now."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines.clear()
        self._lines[event] += 1
        if self._lines[event] > LINES_A_SECOND:
            self._left_out[event] += 1
            return
        cause = f"{type(exc).__name__}: {exc}"
        log.warning(event, cause=cause, left_out=self._left_out.pop(event, 0), **fields)


FAILURES = FailureNotes()
