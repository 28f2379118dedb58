"""Which software version began each resumable stream, so that it goes on only at that version.

A router knows the streams that it began itself.  While several versions serve, or may have, it also
sends the version to the stream's backup routers, a few that come first in an order known to all; a
router at which a client resumes a stream asks them.  An origin is kept for as long as its client
may come back.  If there are too many, those go first that are found again without any memory; a
router that has dropped others says so.
"""

from collections import OrderedDict
from dataclasses import dataclass

from skylarklift.clock import Clock, Millis
from skylarklift.entry.versions.stream_deadlines import MAX_DEADLINE_MS
from skylarklift.ids import RequestId, ServiceId, SoftwareVersion

# Origins are kept for this long at least; routers of earlier releases keep them no longer.
MIN_KEPT_MS = 30_000
# Streams that run for longer are recorded again meanwhile.
MAX_KEPT_MS = MAX_DEADLINE_MS
MAX_ORIGINS = 50_000
# Origins that are kept no longer are dropped at this interval.
SWEEP_INTERVAL_MS = 5000


@dataclass(frozen=True, slots=True)
class DoubtedEnd:
    """The event behind which `runs` runs of a stream ended with their connections."""

    last_event: int
    runs: int


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The service and the software version that began a stream.

    `request` is the client's attempt that brought the first event; `version` is `None` if the
    replica named none.  `doubted_end` is where the stream was broken off as its end was in doubt,
    `None` if it was not.
    """

    request: RequestId
    service: ServiceId
    version: SoftwareVersion | None
    doubted_end: DoubtedEnd | None = None

    @property
    def is_lost(self) -> bool:
        """Return whether this only says that its teller may have dropped the origin."""
        return not self.service


def lost_origin(request: RequestId) -> StreamOrigin:
    """Return what a router reports of a stream whose origin it may have dropped.

    Routers of earlier releases read it as a stream that cannot go on, too.
    """
    return StreamOrigin(request, ServiceId(""), None)


@dataclass(frozen=True, slots=True)
class RecordedOrigin:
    """A stream's origin, until when it is kept, and the router that reported it."""

    origin: StreamOrigin
    until: Millis
    node: str


class StreamOrigins:
    """The origins of recent streams, as this router knows them."""

    def __init__(self, clock: Clock):
        self._clock = clock
        # Both in the order in which they were recorded last.
        self._derivable: OrderedDict[RequestId, RecordedOrigin] = OrderedDict()
        self._others: OrderedDict[RequestId, RecordedOrigin] = OrderedDict()
        self._swept_at = clock.now()
        # Until when clients may resume streams whose origins were dropped to make room.
        self._lacking_until: Millis | None = None

    def record(
        self,
        origin: StreamOrigin,
        kept_ms: int = MAX_KEPT_MS,
        *,
        node: str = "",
        derivable: bool = False,
    ) -> None:
        """Record which version began a stream, or goes on with it, for `kept_ms` at least.

        One that is `derivable` is found again by the proportions alone, or not at all.
        """
        known = self._pop(origin.request)
        until = Millis(self._clock.now() + min(max(kept_ms, MIN_KEPT_MS), MAX_KEPT_MS))
        if known is not None:
            until = max(until, known.until)
        recorded = RecordedOrigin(origin, until, node)
        (self._derivable if derivable else self._others)[origin.request] = recorded
        self._make_room()

    def _pop(self, request: RequestId) -> RecordedOrigin | None:
        """Remove and return what is recorded of a stream."""
        return self._derivable.pop(request, None) or self._others.pop(request, None)

    def _make_room(self) -> None:
        """Drop the origins that are kept no longer, at intervals, and those that are too many."""
        now = self._clock.now()
        if now - self._swept_at >= SWEEP_INTERVAL_MS:
            self._swept_at = now
            self._sweep(self._derivable)
            self._sweep(self._others)
        while len(self) > MAX_ORIGINS:
            if self._derivable:
                self._derivable.popitem(last=False)
                continue
            _, dropped = self._others.popitem(last=False)
            self._lacking_until = max(dropped.until, self._lacking_until or dropped.until)

    def _sweep(self, origins: OrderedDict[RequestId, RecordedOrigin]) -> None:
        """Drop the origins that are kept no longer."""
        now = self._clock.now()
        ended = [request for request, recorded in origins.items() if recorded.until <= now]
        for request in ended:
            del origins[request]

    def lacks_some(self) -> bool:
        """Return whether a client may resume a stream whose origin was dropped to make room."""
        return self._lacking_until is not None and self._clock.now() < self._lacking_until

    def find(self, request: RequestId) -> StreamOrigin | None:
        """Return the origin of a stream, `None` if this router does not know it."""
        found = self.find_recorded(request)
        return None if found is None else found.origin

    def find_recorded(self, request: RequestId) -> RecordedOrigin | None:
        """Return what is recorded of a stream, `None` if this router does not know it."""
        found = self._derivable.get(request) or self._others.get(request)
        return found if found is not None and found.until > self._clock.now() else None

    def __len__(self) -> int:
        """Return how many origins are remembered."""
        return len(self._derivable) + len(self._others)
