"""The streams that run at this router, whose origins are sent again while they run.

So routers that are to know an origin have it, also those that started after the stream did, and
those that keep it for a short time only.
"""

from collections import OrderedDict
from dataclasses import dataclass, replace

from skylarklift.clock import Clock, Millis
from skylarklift.entry.versions.backup_routers import BackupRouters, choose_backups
from skylarklift.entry.versions.stream_origins import StreamOrigin
from skylarklift.ids import RequestId

RENEWAL_INTERVAL_MS = 10_000
# Streams beyond this number wait for the next time.
MAX_RENEWED_AT_ONCE = 25


@dataclass(frozen=True, slots=True)
class RunningStream:
    """The origin of a stream that runs, when it was sent last, and the routers to send it to."""

    origin: StreamOrigin
    sent_at: Millis
    backups: BackupRouters


class RunningStreams:
    """The streams that run here, by the requests that they answer."""

    def __init__(self, clock: Clock):
        self._clock = clock
        # In the order in which they were sent last.
        self._streams: OrderedDict[RequestId, RunningStream] = OrderedDict()

    def record(self, run: RequestId, origin: StreamOrigin, backups: BackupRouters) -> None:
        """Record that the origin of a stream that runs was sent now."""
        self._streams[run] = RunningStream(origin, self._clock.now(), backups)
        self._streams.move_to_end(run)

    def end(self, run: RequestId) -> None:
        """Forget a stream that runs no longer."""
        self._streams.pop(run, None)

    def take_due(self, routers: frozenset[str]) -> list[RunningStream]:
        """Return the streams whose origins are to be sent again now, with their backup routers."""
        due = []
        now = self._clock.now()
        while self._streams and len(due) < MAX_RENEWED_AT_ONCE:
            run, stream = next(iter(self._streams.items()))
            if stream.sent_at > now - RENEWAL_INTERVAL_MS:
                break
            backups = choose_backups(stream.origin.request, routers, stream.backups)
            self._streams[run] = replace(stream, sent_at=now, backups=backups)
            self._streams.move_to_end(run)
            due.append(self._streams[run])
        return due
