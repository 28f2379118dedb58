"""Structured log on standard output: rate-limited, and never blocking on the reader."""

import json
import os
from collections import Counter

from skylarklift.clock import MS_PER_SECOND, Clock

MAX_LINES_PER_EVENT = 100
MAX_BUFFER_BYTES = 262144
STDOUT = 1


class EventLog:
    """Write one JSON object per line.

    Lines above `MAX_LINES_PER_EVENT` in a second or above `MAX_BUFFER_BYTES` of unwritten data are
    dropped and counted; a `lines_left_out` line reports the counts.
    """

    def __init__(self, clock: Clock, node: str, descriptor: int = STDOUT):
        self._clock = clock
        self._node = node
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._second = 0
        self._line_counts: Counter[str] = Counter()
        self._dropped: Counter[str] = Counter()
        os.set_blocking(descriptor, False)

    def write(self, event: str, **fields: object) -> None:
        """Log one event with its fields."""
        now = self._clock.now()
        second = now // MS_PER_SECOND
        if second != self._second:
            self._start_second(second)
        self._line_counts[event] += 1
        if self._line_counts[event] > MAX_LINES_PER_EVENT:
            self._dropped[event] += 1
            return
        self._enqueue({"ms": now, "node": self._node, "event": event, **fields})

    def _start_second(self, second: int) -> None:
        """Reset the counts for a new second, and log how many lines have been dropped."""
        self._second = second
        self._line_counts.clear()
        if self._dropped:
            counts = dict(self._dropped)
            self._dropped.clear()
            self._enqueue(
                {
                    "ms": self._clock.now(),
                    "node": self._node,
                    "event": "lines_left_out",
                    "counts": counts,
                }
            )

    def _enqueue(self, line: dict[str, object]) -> None:
        """Buffer a line, or drop it if the buffer is full, and flush."""
        data = json.dumps(line, separators=(",", ":"), default=str).encode() + b"\n"
        if len(self._buffer) + len(data) > MAX_BUFFER_BYTES:
            self._dropped[str(line["event"])] += 1
            self.flush()
            return
        self._buffer += data
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor takes without blocking."""
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the log.  Discard the buffer, so that requests are still served.
            written = len(self._buffer)
        del self._buffer[:written]
