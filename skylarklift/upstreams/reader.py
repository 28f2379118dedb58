"""Check the events of a streamed chat as they are passed on.

A streamed answer is forwarded as it came.  Of each event only the id line is read
(the offset, as Server-Sent Events define it) and whether it carries the request's
own id; the JSON inside is never parsed.
"""

from skylarklift.ids import RequestId
from skylarklift.upstreams.events import EventSplitter, StreamEvent
from skylarklift.upstreams.failures import FailureKind, UpstreamError

LAST_EVENT = b"data: [DONE]"


class EventReader:
    """Check the order and the owner of a stream's events.

    Events up to `offset` were forwarded before and are dropped, which makes a
    resumed stream safe against an engine that repeats some.
    """

    def __init__(self, request_id: RequestId, offset: int):
        self._mark = f"chatcmpl-{request_id}".encode()
        self._splitter = EventSplitter()
        self.offset = offset
        self.repeated = 0
        self.numbered = False
        self.finished = False

    def feed(self, data: bytes) -> bytes:
        """Return the whole new events of the data, to be forwarded as they are."""
        return b"".join(event.raw for event in self._splitter.feed(data) if self._accept(event))

    def _accept(self, event: StreamEvent) -> bool:
        """Check one event; tell whether to forward it."""
        if event.raw.startswith(LAST_EVENT):
            self.finished = True
            return True
        if self._mark not in event.raw:
            raise UpstreamError(FailureKind.CROSSED, "an event of another request", sent=True)
        return event.number is None or self._accept_offset(event.number)

    def _accept_offset(self, offset: int) -> bool:
        """Check that an offset follows on the last one; tell whether it is new."""
        self.numbered = True
        if offset <= self.offset:
            self.repeated += 1
            return False
        if offset != self.offset + 1:
            text = f"offset {offset} after {self.offset}"
            raise UpstreamError(FailureKind.BROKEN, text, sent=True)
        self.offset = offset
        return True
