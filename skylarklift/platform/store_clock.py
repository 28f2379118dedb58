"""The time of the store's clock, by the answers that tell it."""

from skylarklift.clock import Clock, Millis

# The best estimate of this and the time before counts, as clocks drift apart slowly.
WINDOW_MS = 60_000
# No answer is as late as this; the clock has been set back, or an earlier answer was odd.
MAX_LATE_MS = 5000


class StoreClock:
    """An estimate of the store's clock, which is never ahead of it.

    An answer that was on its way for long, or read late, tells an earlier time than it is by then;
    so the answer counts by which it is the latest.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._window_began_at: Millis | None = None
        self._offset_ms = 0
        self._offset_before_ms: int | None = None

    def record(self, told_ms: int) -> None:
        """Record the time that an answer tells, as it is read."""
        now = self._clock.now()
        offset_ms = told_ms - now
        if self._window_began_at is None or offset_ms < self._best_offset_ms() - MAX_LATE_MS:
            self._window_began_at, self._offset_ms = now, offset_ms
            self._offset_before_ms = None
        elif now - self._window_began_at >= WINDOW_MS:
            self._window_began_at = now
            self._offset_before_ms, self._offset_ms = self._offset_ms, offset_ms
        else:
            self._offset_ms = max(self._offset_ms, offset_ms)

    def _best_offset_ms(self) -> int:
        """Return by how much the store's clock is ahead of this router's."""
        before_ms = self._offset_before_ms
        return self._offset_ms if before_ms is None else max(self._offset_ms, before_ms)

    def now_ms(self) -> int:
        """Return the time of the store's clock, this router's own before the first answer."""
        return self._best_offset_ms() + self._clock.now()
