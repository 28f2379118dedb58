"""Structured log lines on standard output: bounded in number, never waiting for a reader."""

import json
import os
from collections import Counter

from skylarklift.clock import MS_PER_SECOND, Clock

MAX_LINES_PER_EVENT = 100
BUFFER_BYTES = 262144
# Lines of these kinds are never left out before the others.
STDOUT = 1


class EventLog:
    """Write one JSON object a line; leave out what is over the bounds, and count it."""

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
        """Begin the count of a new second; tell what the last one left out."""
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
        """Queue a line and write what the other side takes now."""
        data = json.dumps(line, separators=(",", ":"), default=str).encode() + b"\n"
        if len(self._buffer) + len(data) > BUFFER_BYTES:
            self._dropped[str(line["event"])] += 1
            self.flush()
            return
        self._buffer += data
        self.flush()

    def flush(self) -> None:
        """Write what the other side takes without waiting."""
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads the log any more; requests go on.
            written = len(self._buffer)
        del self._buffer[:written]
