"""Split a stream of server-sent events into single events and parse their ids."""

from dataclasses import dataclass

EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
ID_FIELD = b"id:"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event as received; `event_id` is `None` unless its id is a number."""

    event_id: int | None
    raw: bytes


class EventSplitter:
    """Split bytes into events; buffer an incomplete event until the rest arrives."""

    def __init__(self):
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer holds an incomplete event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes; return the events that are now complete."""
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
    """Return the index after the first event's end, or -1 if it is incomplete."""
    ends = [
        start + len(separator) for separator in EVENT_ENDS if (start := buffer.find(separator)) >= 0
    ]
    return min(ends, default=-1)


def _parse_event_id(raw: bytes) -> int | None:
    """Return the id of an event, or `None` if it has none or it is not a number."""
    for line in raw.splitlines():
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
