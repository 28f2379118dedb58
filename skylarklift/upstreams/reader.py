"""Check the events of a streamed chat while they are forwarded.

Events are forwarded byte for byte.  The reader parses only the id line of an event, as
Server-Sent Events define it, and looks for the request's own id in its bytes; it never
parses the JSON.
"""

from skylarklift.errors import TransportError
from skylarklift.ids import RequestId
from skylarklift.upstreams.events import EventSplitter, StreamEvent
from skylarklift.upstreams.failures import FailureKind, UpstreamError
from skylarklift.upstreams.stream_position import StreamPosition

DONE_EVENT = b"data: [DONE]"


class EventReader:
    """Check the order of a stream's events and that they belong to the request.

    Events that the caller has by `position` were forwarded before and are dropped, so that it
    gets no event twice from an engine that repeats some after a resume.
    """

    def __init__(self, request_id: RequestId, position: StreamPosition):
        self._completion_id = f"chatcmpl-{request_id}".encode()
        self._splitter = EventSplitter()
        self._position = position
        position.start_run(continuing=bool(position.last))
        self.finished = False

    def feed(self, data: bytes) -> bytes:
        """Return the complete new events of the data, to be forwarded unchanged."""
        try:
            events = self._splitter.feed(data)
            return b"".join(event.raw for event in events if self._accept(event))
        except TransportError as exc:
            raise UpstreamError(FailureKind.BROKEN, str(exc), sent=True) from exc

    def _accept(self, event: StreamEvent) -> bool:
        """Check one event; return whether to forward it.

        Nothing that follows the end marker belongs to the stream.
        """
        if self.finished:
            return False
        if event.raw.startswith(DONE_EVENT):
            self._position.end_run()
            self.finished = True
            return True
        if self._completion_id not in event.raw:
            raise UpstreamError(FailureKind.CROSSED, "an event of another request", sent=True)
        return self._position.is_next(event)
