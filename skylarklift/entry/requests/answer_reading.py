"""Record how an answer was read: how long its caller held it up, and when it ended."""

from collections.abc import Iterator
from contextlib import contextmanager

from skylarklift.clock import Clock, Millis

# An upstream may cut off an answer that stays unread for this long.
UNREAD_MS = 1000
# A shorter answer fits the buffers of its connection, read or not.
BUFFERED_BYTES = 65536


class AnswerReading:
    """The reading of one answer; `ended_at` is when its end was read, `None` before."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._body_bytes = 0
        self._longest_held_ms = 0
        self.ended_at: Millis | None = None

    @contextmanager
    def held_up(self, size: int) -> Iterator[None]:
        """Measure the block that sends a part of the body, of `size` bytes as it was read."""
        read_at = self._clock.now()
        yield
        self._body_bytes += size
        self._longest_held_ms = max(self._longest_held_ms, self._clock.now() - read_at)

    def record_end(self) -> None:
        """Record that the end of the answer was read, unless it was recorded before."""
        if self.ended_at is None:
            self.ended_at = self._clock.now()

    def was_left_unread(self) -> bool:
        """Return whether a caller held up an answer that does not fit the buffers on its way."""
        return self._longest_held_ms >= UNREAD_MS and self._body_bytes >= BUFFERED_BYTES
