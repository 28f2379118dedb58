"""Kept connections to upstreams."""

from collections import deque
from dataclasses import dataclass

from skylarklift.clock import Clock, Millis
from skylarklift.entry.link import Link, connect
from skylarklift.entry.model import UpstreamRecord
from skylarklift.ids import ReplicaId

# Links between machines take a millisecond or two, and a lost packet is sent again within a
# quarter of a second.
CONNECT_TIMEOUT_MS = 400
# A replica that names no span keeps idle connections at least this long.
DEFAULT_KEEP_MS = 3000
# Stop using an idle connection this long before the other side closes it.
KEEP_MARGIN_MS = 700
IDLE_PER_UPSTREAM = 16
# A connection may be dropped without notice while it is idle, and what is sent on it then is
# lost; a request that must not run twice only goes on one that was in use just now.
RECENT_MS = 1000


@dataclass(slots=True)
class IdleLink:
    """A connection that waits for its next request since a moment, and until when it may."""

    link: Link
    since: Millis
    until: Millis


class LinkPool:
    """The idle connections of a router, by upstream."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._idle: dict[ReplicaId, deque[IdleLink]] = {}

    async def take(self, record: UpstreamRecord, *, recent: bool) -> Link:
        """Return an idle connection, or a new one; raise `ConnectFailed`.

        With `recent`, only a connection that was in use just now will do.
        """
        link = self._idle_link(record.replica, recent)
        if link is not None:
            return link
        stream = await connect(record.host, record.port, CONNECT_TIMEOUT_MS)
        return Link(stream, f"{record.host}:{record.port}")

    def _idle_link(self, replica: ReplicaId, recent: bool) -> Link | None:
        """Return the idle connection that was in use last, if it will do."""
        idle = self._idle.get(replica)
        now = self._clock.now()
        while idle:
            if recent and now - idle[-1].since > RECENT_MS:
                return None
            item = idle.pop()
            if item.until > now and item.link.quiet():
                return item.link
            item.link.close()
        return None

    def give(self, replica: ReplicaId, link: Link, keep_ms: int | None) -> None:
        """Take a connection back after a complete answer."""
        if not link.reuse():
            link.close()
            return
        span = (DEFAULT_KEEP_MS if keep_ms is None else keep_ms) - KEEP_MARGIN_MS
        idle = self._idle.setdefault(replica, deque())
        if span <= 0 or len(idle) >= IDLE_PER_UPSTREAM:
            link.close()
            return
        now = self._clock.now()
        idle.append(IdleLink(link, now, Millis(now + span)))

    def sweep(self) -> None:
        """Close the connections that are no longer safe to use."""
        now = self._clock.now()
        for replica, idle in list(self._idle.items()):
            while idle and idle[0].until <= now:
                idle.popleft().link.close()
            if not idle:
                del self._idle[replica]

    def drop(self, replica: ReplicaId) -> None:
        """Close all idle connections to an upstream."""
        for item in self._idle.pop(replica, ()):
            item.link.close()
