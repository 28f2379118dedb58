"""Split a stream of server-sent events into single events and parse their ids."""

import re
from dataclasses import dataclass

from skylarklift.errors import ResponseInvalid
from skylarklift.util.bounded import parse_integer

# An upstream that sends more than this without the end of an event does not send events.
MAX_EVENT_BYTES = 1_048_576
# Two ends of lines.  A group that is not entered again keeps a CRLF from counting as two.
# It begins with plain characters, which are searched for faster.
EVENT_END = re.compile(rb"(?:\r(?>\n?)|\n)(?>\r\n|\n|\r)")
# The same where no carriage return has come.
PLAIN_EVENT_END = b"\n\n"
LONGEST_END_BYTES = len(b"\r\n\r\n")
CARRIAGE_RETURN = b"\r"
LINE_ENDS = b"\r\n"
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
ID_FIELD = b"id"
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
        self._has_returns = False

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
        self._has_returns = self._has_returns or CARRIAGE_RETURN in data
        events, start = [], 0
        while start < len(buffer):
            end = self._find_event_end(max(start, self._searched))
            if end < 0 or (end == len(buffer) and buffer.endswith(CARRIAGE_RETURN)):
                # A line feed that belongs to the carriage return may be on its way.
                break
            events.append(_make_event(bytes(buffer[start:end])))
            start = end
        del buffer[:start]
        if len(buffer) > MAX_EVENT_BYTES:
            raise ResponseInvalid(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        # The bytes so far may be the first part of an event's end.
        self._searched = max(0, len(buffer) - LONGEST_END_BYTES + 1)
        return events

    def drop(self) -> None:
        """Free the buffer: a failure that is still handled may refer to this splitter."""
        self._buffer = bytearray()

    def finish(self) -> list[StreamEvent]:
        """Return the event that only the end of the stream shows to be complete, if any.

        Empty lines alone begin no event.
        """
        has_content = bool(self._buffer.strip(LINE_ENDS))
        if not self._buffer or has_content and self._find_event_end(self._searched) < 0:
            return []
        raw = bytes(self._buffer)
        self._buffer.clear()
        return [_make_event(raw)]

    def _find_event_end(self, start: int) -> int:
        """Return the index after the first event's end from `start` on, or -1 without one."""
        if self._has_returns:
            found = EVENT_END.search(self._buffer, start)
            return found.end() if found else -1
        place = self._buffer.find(PLAIN_EVENT_END, start)
        return -1 if place < 0 else place + len(PLAIN_EVENT_END)


def _make_event(raw: bytes) -> StreamEvent:
    """Return a complete event; raise `ResponseInvalid` if its id is too large."""
    return StreamEvent(_parse_event_id(raw), raw)


def _parse_event_id(raw: bytes) -> int | None:
    """Return the id of an event, or `None` if it has none or it is not a number.

    Of several fields the last one counts.  Raise `ResponseInvalid` if the number is too large.
    """
    text = b""
    for line in raw.removeprefix(BYTE_ORDER_MARK).splitlines():
        if line.startswith(ID_FIELD):
            name, _, value = line.partition(b":")
            text = value.strip() if name == ID_FIELD else text
    return _parse_id(text) if text.isdigit() else None


def _parse_id(digits: bytes) -> int:
    """Return the number in an id; raise `ResponseInvalid`."""
    try:
        return parse_integer(digits)
    except ValueError as exc:
        raise ResponseInvalid(f"id of an event: {exc}") from exc
