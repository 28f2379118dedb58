"""Check the events of a streamed chat while they are forwarded.

Events are forwarded byte for byte.  The reader parses only the id line of an event, as
Server-Sent Events define it, and looks for the request's own id in its bytes; it never
parses the JSON.
"""

from skylarklift.errors import ResponseInvalid
from skylarklift.ids import RequestId
from skylarklift.upstreams.events import EventSplitter, StreamEvent
from skylarklift.upstreams.failures import FailureKind, UpstreamError

DONE_EVENT = b"data: [DONE]"


class EventReader:
    """Check the order of a stream's events and that they belong to the request.

    Events up to `last_event_id` were forwarded before and are dropped, so that the
    caller gets no event twice from an engine that repeats some after a resume.
    """

    def __init__(self, request_id: RequestId, last_event_id: int):
        self._completion_id = f"chatcmpl-{request_id}".encode()
        self._splitter = EventSplitter()
        self.last_event_id = last_event_id
        self.duplicates = 0
        self.has_event_ids = False
        self.finished = False

    def feed(self, data: bytes) -> bytes:
        """Return the complete new events of the data, to be forwarded unchanged."""
        try:
            events = self._splitter.feed(data)
        except ResponseInvalid as exc:
            raise UpstreamError(FailureKind.BROKEN, str(exc), sent=True) from exc
        return b"".join(event.raw for event in events if self._accept(event))

    def _accept(self, event: StreamEvent) -> bool:
        """Check one event; return whether to forward it."""
        if event.raw.startswith(DONE_EVENT):
            self.finished = True
            return True
        if self._completion_id not in event.raw:
            raise UpstreamError(FailureKind.CROSSED, "an event of another request", sent=True)
        return event.event_id is None or self._accept_id(event.event_id)

    def _accept_id(self, event_id: int) -> bool:
        """Return whether an event is new by its id; raise if ids were skipped."""
        self.has_event_ids = True
        if event_id <= self.last_event_id:
            self.duplicates += 1
            return False
        if event_id != self.last_event_id + 1:
            text = f"offset {event_id} after {self.last_event_id}"
            raise UpstreamError(FailureKind.BROKEN, text, sent=True)
        self.last_event_id = event_id
        return True
