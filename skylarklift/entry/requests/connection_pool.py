"""Pool of idle connections to upstreams."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from skylarklift.clock import Clock, Millis
from skylarklift.entry.model import UpstreamRecord
from skylarklift.entry.relays.dialer import Dialer
from skylarklift.entry.relays.link_states import LinkStates
from skylarklift.entry.requests.http_connection import HttpConnection
from skylarklift.errors import LocalShortage
from skylarklift.ids import ReplicaId

# A connection between VMs takes a millisecond or two; a lost packet is sent again within 250 ms.
CONNECT_TIMEOUT_MS = 400
# A replica whose responses name no keep-alive time-out keeps idle connections at least this long.
DEFAULT_KEEP_ALIVE_MS = 3000
# An idle connection is no longer used this long before the replica closes it.
KEEP_ALIVE_MARGIN_MS = 700
MAX_IDLE_PER_UPSTREAM = 16
SEARCH_INTERVAL_MS = 20
# An idle connection may have been dropped without notice, so that a request sent on it is lost.
# A request that must not run twice is sent on a new connection or on one used within this time.
RECENT_USE_MS = 1000


@dataclass(slots=True)
class IdleConnection:
    """An idle connection, with the time of its last use and the time until it may be reused."""

    conn: HttpConnection
    record: UpstreamRecord
    idle_since: Millis
    expires_at: Millis


class ConnectionPool:
    """The idle connections of one router, by upstream.

    `on_early_end` is called for an upstream that has ended one before its time.
    """

    def __init__(self, clock: Clock, dialer: Dialer, on_early_end: Callable[[ReplicaId], None]):
        self._clock = clock
        self._dialer = dialer
        self._on_early_end = on_early_end
        self._searched_at = Millis(0)
        self._idle: dict[ReplicaId, deque[IdleConnection]] = {}

    async def acquire(
        self,
        record: UpstreamRecord,
        *,
        recently_used: bool,
        new: bool = False,
        timeout_ms: int = CONNECT_TIMEOUT_MS,
    ) -> HttpConnection:
        """Return an idle connection, or a new one; raise `ConnectFailed`.

        With `recently_used`, take an idle connection only if it was in use within
        `RECENT_USE_MS`; with `new`, take none.  A new one may take `timeout_ms`.
        """
        conn = None if new else self._take_idle(record.replica, recently_used)
        if conn is not None:
            return conn
        try:
            stream = await self._dialer.dial(record, timeout_ms)
        except LocalShortage:
            if not self.trim_idle(0):
                raise
            stream = await self._dialer.dial(record, timeout_ms)
        conn = HttpConnection(stream, f"{record.host}:{record.port}")
        conn.connected_at = self._clock.now()
        return conn

    def _take_idle(self, replica: ReplicaId, recently_used: bool) -> HttpConnection | None:
        """Remove and return the most recently used idle connection that is still usable."""
        idle = self._idle.get(replica)
        now = self._clock.now()
        while idle:
            if recently_used and now - idle[-1].idle_since > RECENT_USE_MS:
                return None
            item = idle.pop()
            if item.expires_at > now and self._dialer.may_use(item.conn.relay, item.record):
                if item.conn.has_no_input():
                    return item.conn
                self._on_early_end(replica)
            item.conn.close()
        return None

    def find_early_ends(self) -> None:
        """Close the idle connections that upstreams have ended before their time.

        Streams that wait ask for this often, and there may be hundreds of connections.
        """
        now = self._clock.now()
        if now < self._searched_at + SEARCH_INTERVAL_MS:
            return
        self._searched_at = now
        for replica, idle in self._idle.items():
            ended = [item for item in idle if not item.conn.has_no_input()]
            if any(item.expires_at > now for item in ended):
                self._on_early_end(replica)
            for item in ended:
                idle.remove(item)
                item.conn.close()

    def release(
        self, record: UpstreamRecord, conn: HttpConnection, keep_alive_ms: int | None
    ) -> None:
        """Keep a connection for reuse after a complete response, or close it."""
        if not conn.prepare_next_request() or not self._dialer.may_use(conn.relay, record):
            conn.close()
            return
        span = (
            DEFAULT_KEEP_ALIVE_MS if keep_alive_ms is None else keep_alive_ms
        ) - KEEP_ALIVE_MARGIN_MS
        idle = self._idle.setdefault(record.replica, deque())
        if span <= 0 or len(idle) >= MAX_IDLE_PER_UPSTREAM:
            conn.close()
            return
        now = self._clock.now()
        idle.append(IdleConnection(conn, record, now, Millis(now + span)))

    def trim_idle(self, limit: int) -> int:
        """Close idle connections, the longest unused first, down to a limit; return how many."""
        if sum(len(idle) for idle in self._idle.values()) <= limit:
            return 0
        items = [
            (item.idle_since, replica) for replica, idle in self._idle.items() for item in idle
        ]
        excess = len(items) - limit
        for _, replica in sorted(items)[:excess]:
            idle = self._idle[replica]
            idle.popleft().conn.close()
            if not idle:
                del self._idle[replica]
        return excess

    def close_expired(self) -> None:
        """Close the idle connections that may no longer be reused."""
        now = self._clock.now()
        for replica, idle in list(self._idle.items()):
            while idle and idle[0].expires_at <= now:
                idle.popleft().conn.close()
            self._close_relayed(idle)
            if not idle:
                del self._idle[replica]

    def _close_relayed(self, idle: deque[IdleConnection]) -> None:
        """Close the relayed connections whose relay ends soon or is no longer needed."""
        for item in list(idle):
            relay = item.conn.relay
            if relay is not None and not self._dialer.may_use(relay, item.record):
                idle.remove(item)
                item.conn.close()

    def close_lost(self, links: LinkStates) -> None:
        """Close the idle direct connections over a link that brings nothing any more."""
        for idle in self._idle.values():
            for item in list(idle):
                if item.conn.relay is None and links.open_connections_are_lost(item.record):
                    idle.remove(item)
                    item.conn.abort()

    def close_idle(self, replica: ReplicaId) -> None:
        """Close all idle connections to an upstream."""
        for item in self._idle.pop(replica, ()):
            item.conn.close()
