"""The one clock type: whole milliseconds that never run backwards.

A clock's zero means nothing outside its process, so its values are never sent to
another router; spans of time are.
"""

from abc import ABC, abstractmethod
from typing import NewType

import trio

Millis = NewType("Millis", int)

MS_PER_SECOND = 1000


class Clock(ABC):
    """A source of the current time in milliseconds."""

    @abstractmethod
    def now(self) -> Millis:
        """Return the milliseconds since some fixed moment of this process."""


class LoopClock(Clock):
    """Read the time of the running trio loop, which a test may make virtual."""

    def now(self) -> Millis:
        """Return the loop's time."""
        return Millis(int(trio.current_time() * MS_PER_SECOND))


class ManualClock(Clock):
    """Stand still until told to move."""

    def __init__(self, start: int = 0):
        self._now = start

    def now(self) -> Millis:
        """Return the time last set."""
        return Millis(self._now)

    def advance(self, duration_ms: int) -> None:
        """Move the time forward by `span_ms` milliseconds."""
        self._now += duration_ms


async def sleep_ms(duration_ms: float) -> None:
    """Sleep for `span_ms` milliseconds of the loop's time."""
    await trio.sleep(max(0.0, duration_ms) / MS_PER_SECOND)
