"""Split a stream of server-sent events into single events and parse their ids."""

from dataclasses import dataclass

from skylarklift.errors import ResponseInvalid
from skylarklift.util.bounded import parse_integer

# An upstream that sends more than this without the end of an event does not send events.
MAX_EVENT_BYTES = 1_048_576
EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
LONGEST_END_BYTES = max(len(end) for end in EVENT_ENDS)
ID_FIELD = b"id:"
COMMENT_START = b":"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event as received; `event_id` is `None` unless its id is a number."""

    event_id: int | None
    raw: bytes

    @property
    def is_comment(self) -> bool:
        """Return whether the event has only comment lines, which keep a connection open."""
        if self.event_id is not None:
            return False
        lines = self.raw.splitlines()
        return all(not line or line.startswith(COMMENT_START) for line in lines)


class EventSplitter:
    """Split bytes into events; buffer an incomplete event until the rest arrives."""

    def __init__(self):
        self._buffer = bytearray()
        # No event ends before this index of the buffer.
        self._searched = 0

    @property
    def partial_bytes(self) -> int:
        """Return the size of the incomplete event in the buffer, 0 without one."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes; return the events that are now complete.

        Raise `ResponseInvalid` if an incomplete event exceeds `MAX_EVENT_BYTES`, or if the id of
        an event is too large.
        """
        buffer = self._buffer
        buffer += data
        events, start = [], 0
        while (end := _find_event_end(buffer, max(start, self._searched))) >= 0:
            raw = bytes(buffer[start:end])
            events.append(StreamEvent(_parse_event_id(raw), raw))
            start = end
            if start == len(buffer):
                break
        del buffer[:start]
        if len(buffer) > MAX_EVENT_BYTES:
            raise ResponseInvalid(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        # The bytes so far may be the first part of an event's end.
        self._searched = max(0, len(buffer) - LONGEST_END_BYTES + 1)
        return events


def _find_event_end(buffer: bytearray, start: int) -> int:
    """Return the index after the first event's end from `start` on, or -1 if it is incomplete."""
    ends = [
        found + len(separator)
        for separator in EVENT_ENDS
        if (found := buffer.find(separator, start)) >= 0
    ]
    return min(ends, default=-1)


def _parse_event_id(raw: bytes) -> int | None:
    """Return the id of an event, or `None` if it has none or it is not a number.

    Raise `ResponseInvalid` if the number is too large.
    """
    for line in raw.splitlines():
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return _parse_id(text) if text.isdigit() else None
    return None


def _parse_id(digits: bytes) -> int:
    """Return the number in an id; raise `ResponseInvalid`."""
    try:
        return parse_integer(digits)
    except ValueError as exc:
        raise ResponseInvalid(f"id of an event: {exc}") from exc
