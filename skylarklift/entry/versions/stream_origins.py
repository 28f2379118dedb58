"""Which software version began each resumable stream, so that it goes on only at that version.

A router knows the streams that it began itself.  While several versions serve, or may have, it also
sends the version to the stream's backup routers, a few that come first in an order known to all; a
router at which a client resumes a stream asks them.
"""

from collections import OrderedDict
from dataclasses import dataclass

from skylarklift.clock import Clock, Millis
from skylarklift.ids import RequestId, ServiceId, SoftwareVersion

# A stream and its client's tries end well within this time.
ORIGIN_TTL_MS = 30_000
MAX_ORIGINS = 20_000


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


@dataclass(frozen=True, slots=True)
class RecordedOrigin:
    """A stream's origin and when it was recorded."""

    origin: StreamOrigin
    recorded_at: Millis


class StreamOrigins:
    """The origins of recent streams, as this router knows them."""

    def __init__(self, clock: Clock):
        self._clock = clock
        # In the order in which they were recorded.
        self._origins: OrderedDict[RequestId, RecordedOrigin] = OrderedDict()

    def record(self, origin: StreamOrigin) -> None:
        """Record which version began a stream, or goes on with it."""
        now = self._clock.now()
        self._origins[origin.request] = RecordedOrigin(origin, now)
        self._origins.move_to_end(origin.request)
        while self._origins:
            oldest = next(iter(self._origins.values()))
            if len(self._origins) <= MAX_ORIGINS and oldest.recorded_at > now - ORIGIN_TTL_MS:
                break
            self._origins.popitem(last=False)

    def find(self, request: RequestId) -> StreamOrigin | None:
        """Return the origin of a stream, `None` if this router does not know it."""
        found = self._origins.get(request)
        if found is None or found.recorded_at <= self._clock.now() - ORIGIN_TTL_MS:
            return None
        return found.origin

    def __len__(self) -> int:
        """Return how many origins are remembered."""
        return len(self._origins)
