"""Split a stream of server-sent events into whole events and read their ids."""

from dataclasses import dataclass

BLANK_LINES = (b"\n\n", b"\r\n\r\n")
ID_FIELD = b"id:"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event as it came; `number` is its id where that is a number."""

    number: int | None
    raw: bytes


class EventSplitter:
    """Cut bytes into events; a part of an event is kept until the rest arrives."""

    def __init__(self):
        self._buffer = b""

    @property
    def partial(self) -> bool:
        """Tell whether a part of an event is waiting for its rest."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take in bytes; return the events that are now whole."""
        buffer = self._buffer + data if self._buffer else data
        events = []
        while True:
            end = _event_end(buffer)
            if end < 0:
                break
            raw, buffer = buffer[:end], buffer[end:]
            events.append(StreamEvent(_event_number(raw), raw))
        self._buffer = buffer
        return events


def _event_end(buffer: bytes) -> int:
    """Return where the first event ends, or -1."""
    ends = [at + len(mark) for mark in BLANK_LINES if (at := buffer.find(mark)) >= 0]
    return min(ends, default=-1)


def _event_number(raw: bytes) -> int | None:
    """Return the id of an event."""
    for line in raw.splitlines():
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
