"""Kept connections to upstreams."""

from collections import deque
from dataclasses import dataclass

from skylarklift.clock import Clock, Millis
from skylarklift.entry.http_connection import HttpConnection, connect
from skylarklift.entry.model import UpstreamRecord
from skylarklift.ids import ReplicaId

# Links between machines take a millisecond or two, and a lost packet is sent again within a
# quarter of a second.
CONNECT_TIMEOUT_MS = 400
# A replica that names no span keeps idle connections at least this long.
DEFAULT_KEEP_ALIVE_MS = 3000
# Stop using an idle connection this long before the other side closes it.
KEEP_ALIVE_MARGIN_MS = 700
MAX_IDLE_PER_UPSTREAM = 16
# A connection may be dropped without notice while it is idle, and what is sent on it then is
# lost; a request that must not run twice only goes on one that was in use just now.
RECENT_USE_MS = 1000


@dataclass(slots=True)
class IdleConnection:
    """A connection that waits for its next request since a moment, and until when it may."""

    conn: HttpConnection
    idle_since: Millis
    expires_at: Millis


class ConnectionPool:
    """The idle connections of a router, by upstream."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._idle: dict[ReplicaId, deque[IdleConnection]] = {}

    async def acquire(self, record: UpstreamRecord, *, recently_used: bool) -> HttpConnection:
        """Return an idle connection, or a new one; raise `ConnectFailed`.

        With `recent`, only a connection that was in use just now will do.
        """
        conn = self._take_idle(record.replica, recently_used)
        if conn is not None:
            return conn
        stream = await connect(record.host, record.port, CONNECT_TIMEOUT_MS)
        return HttpConnection(stream, f"{record.host}:{record.port}")

    def _take_idle(self, replica: ReplicaId, recently_used: bool) -> HttpConnection | None:
        """Return the idle connection that was in use last, if it will do."""
        idle = self._idle.get(replica)
        now = self._clock.now()
        while idle:
            if recently_used and now - idle[-1].idle_since > RECENT_USE_MS:
                return None
            item = idle.pop()
            if item.expires_at > now and item.conn.has_no_input():
                return item.conn
            item.conn.close()
        return None

    def release(self, replica: ReplicaId, conn: HttpConnection, keep_ms: int | None) -> None:
        """Take a connection back after a complete answer."""
        if not conn.prepare_next_request():
            conn.close()
            return
        span = (DEFAULT_KEEP_ALIVE_MS if keep_ms is None else keep_ms) - KEEP_ALIVE_MARGIN_MS
        idle = self._idle.setdefault(replica, deque())
        if span <= 0 or len(idle) >= MAX_IDLE_PER_UPSTREAM:
            conn.close()
            return
        now = self._clock.now()
        idle.append(IdleConnection(conn, now, Millis(now + span)))

    def close_expired(self) -> None:
        """Close the connections that are no longer safe to use."""
        now = self._clock.now()
        for replica, idle in list(self._idle.items()):
            while idle and idle[0].expires_at <= now:
                idle.popleft().conn.close()
            if not idle:
                del self._idle[replica]

    def close_idle(self, replica: ReplicaId) -> None:
        """Close all idle connections to an upstream."""
        for item in self._idle.pop(replica, ()):
            item.conn.close()
