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
        self._failure: UpstreamError | None = None
        self.finished = False

    def feed(self, data: bytes) -> bytes:
        """Return the complete new events of the data, to be forwarded unchanged.

        The events before one that is invalid are returned: `position` counts them as forwarded.
        `raise_failure` then tells of the invalid one.
        """
        accepted: list[bytes] = []
        try:
            for event in self._splitter.feed(data):
                if self._accept(event):
                    accepted.append(event.raw)
        except TransportError as exc:
            self._failure = UpstreamError(FailureKind.BROKEN, str(exc), sent=True)
        except UpstreamError as exc:
            self._failure = exc
        return b"".join(accepted)

    def raise_failure(self) -> None:
        """Raise `UpstreamError` if an event was invalid, once the events before are forwarded."""
        if self._failure is not None:
            raise self._failure

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
