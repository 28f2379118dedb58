"""Notice that a router stood still, so that what it knows may be outdated."""

from skylarklift.clock import Clock, Millis

# The maintenance of a router checks at this interval.
CHECK_INTERVAL_MS = 250
# A router whose check is late by this much has stood still.
STANDSTILL_MS = 500
# What is not confirmed by then is as old as at other routers: the store is away.
DOUBT_MS = 2500


class Standstill:
    """When this router last went on after it had stood still."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._checked_at: Millis | None = None
        self._ended_at: Millis | None = None
        self._lasted_ms = 0

    def check(self) -> bool:
        """Return whether the router has stood still since the last check."""
        late = self._is_late()
        now = self._clock.now()
        if late:
            self._lasted_ms = self.waiting_ms()
            self._ended_at = now
        self._checked_at = now
        return late

    def has_just_ended(self) -> bool:
        """Return whether what was known before a standstill may be outdated.

        That holds from the first moment on, before the check of the maintenance.
        """
        if self._is_late():
            return True
        return self._ended_at is not None and self._clock.now() - self._ended_at < DOUBT_MS

    def has_ended_since(self, moment: Millis) -> bool:
        """Return whether the router stood still at some time since `moment`."""
        return self._is_late() or (self._ended_at is not None and self._ended_at >= moment)

    def waiting_ms(self) -> int:
        """Return for how long what is read now may have waited for this router at most.

        What arrived before a standstill may wait through the next one too.
        """
        now = self._clock.now()
        began_at = self._checked_at if self._is_late() else now
        if self._ended_at is None or began_at - self._ended_at >= DOUBT_MS:
            return now - began_at
        return now - began_at + self._lasted_ms

    def _is_late(self) -> bool:
        """Return whether the next check is late."""
        if self._checked_at is None:
            return False
        return self._clock.now() >= self._checked_at + CHECK_INTERVAL_MS + STANDSTILL_MS
