"""Split a stream of server-sent events into whole events and read their ids."""

from dataclasses import dataclass

EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
ID_FIELD = b"id:"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event as it came; `number` is its id where that is a number."""

    event_id: int | None
    raw: bytes


class EventSplitter:
    """Cut bytes into events; a part of an event is kept until the rest arrives."""

    def __init__(self):
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Tell whether a part of an event is waiting for its rest."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take in bytes; return the events that are now whole."""
        buffer = self._buffer + data if self._buffer else data
        events = []
        while True:
            end = _find_event_end(buffer)
            if end < 0:
                break
            raw, buffer = buffer[:end], buffer[end:]
            events.append(StreamEvent(_parse_event_id(raw), raw))
        self._buffer = buffer
        return events


def _find_event_end(buffer: bytes) -> int:
    """Return where the first event ends, or -1."""
    ends = [at + len(mark) for mark in EVENT_ENDS if (at := buffer.find(mark)) >= 0]
    return min(ends, default=-1)


def _parse_event_id(raw: bytes) -> int | None:
    """Return the id of an event."""
    for line in raw.splitlines():
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
