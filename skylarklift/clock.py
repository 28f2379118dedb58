"""Monotonic clocks in whole milliseconds.

A clock's zero has no meaning outside its process, so routers send each other durations
and never clock values.
"""

from abc import ABC, abstractmethod
from typing import NewType

import trio

Millis = NewType("Millis", int)

MS_PER_SECOND = 1000


class Clock(ABC):
    """A monotonic source of the current time in milliseconds."""

    @abstractmethod
    def now(self) -> Millis:
        """Return the milliseconds since a fixed point in time of this process."""


class LoopClock(Clock):
    """Read the time of the running trio loop; tests may run the loop on virtual time."""

    def now(self) -> Millis:
        """Return the loop's time in milliseconds."""
        return Millis(int(trio.current_time() * MS_PER_SECOND))


class ManualClock(Clock):
    """A clock that moves only when it is advanced, for tests."""

    def __init__(self, start: int = 0):
        self._now = start

    def now(self) -> Millis:
        """Return the time that was last set."""
        return Millis(self._now)

    def advance(self, duration_ms: int) -> None:
        """Move the time forward by `duration_ms`."""
        self._now += duration_ms


async def sleep_ms(duration_ms: float) -> None:
    """Sleep for `duration_ms` of the loop's time."""
    await trio.sleep(max(0.0, duration_ms) / MS_PER_SECOND)
