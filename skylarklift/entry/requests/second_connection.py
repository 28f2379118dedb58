"""Hold a second connection to the process of an answer that ends with its connection.

It is made as the answer begins, or before its request is sent where answers may have no length and
processes tell no start: one that is made after this router stood still may be to a later process.
"""

import math
from contextlib import suppress

import trio

from skylarklift.clock import MS_PER_SECOND, Clock, Millis
from skylarklift.entry.model import UpstreamRecord
from skylarklift.entry.relays.dialer import Dialer
from skylarklift.entry.requests.http_connection import HttpConnection, UpstreamStream
from skylarklift.entry.standstill import Standstill
from skylarklift.errors import ConnectFailed

CONNECT_TIMEOUT_MS = 250
# A request waits this long at most for a second connection that is made before it.
EARLY_CONNECT_MS = 50
# Upstreams close connections that are idle, mostly after 5 s or longer.
RENEWAL_INTERVAL_MS = 2000
# The end of a connection to a process that is gone is seen within this time.
END_DELAY_MS = 60


class SecondConnection:
    """A connection that is made while the answer comes or before, and used after its end.

    Unlike a connection that is made then, it is not to a later process at the same address, and it
    ends with the answer's if their link is closed.  `is_to_same_process` is whether this router had
    not stood still before it was made, so that it is to the process of the answer.  Where only that
    tells of the process, another connection is made in time before the upstream closes it as idle.
    """

    def __init__(
        self, clock: Clock, dialer: Dialer, standstill: Standstill, record: UpstreamRecord
    ):
        self._clock = clock
        self._dialer = dialer
        self._standstill = standstill
        self._record = record
        self._since = clock.now()
        self.is_to_same_process = False
        self._wanted = trio.Event()
        # The router that relays the answer, so that both connections share their links.
        self._relay: str | None = None
        self._renewed = False
        self._opened = trio.Event()
        self._conn: HttpConnection | None = None
        self._made: list[HttpConnection] = []
        self._reading = trio.CancelScope()
        # Ends with the need for the connection.
        self._use = trio.CancelScope()
        self._ended_at: Millis | None = None

    def start(self, relay: str | None, since: Millis, *, renewed: bool) -> None:
        """Let `run` make the connection by the way of the answer, unless it has begun to.

        The process of the answer lived at `since`.  If it says no start, it is `renewed`.
        """
        if not self._wanted.is_set():
            self._relay, self._since, self._renewed = relay, since, renewed
            self._wanted.set()

    async def wait_opened(self) -> None:
        """Wait for a short time until the connection is made, or could not be."""
        with trio.move_on_after(EARLY_CONNECT_MS / MS_PER_SECOND):
            await self._opened.wait()

    def drop(self) -> None:
        """Make or hold no connection from now on, as the answer does not end with its own."""
        self._use.cancel()

    async def run(self) -> None:
        """Make the connection, once it is wanted, and hold it until cancelled or dropped."""
        with self._use:
            await self._wanted.wait()
            await self._make()

    async def _make(self) -> None:
        """Make the connection, and hold it."""
        try:
            stream = await self._dial()
        except ConnectFailed:
            # Without the connection nothing shows that the process lives.
            self._opened.set()
            return
        self.is_to_same_process = not self._standstill.has_ended_since(self._since)
        try:
            self._conn = self._wrap(stream)
            self._opened.set()
            await self._hold(stream)
            await trio.sleep_forever()
        finally:
            for conn in self._made:
                conn.abort()

    async def _dial(self) -> UpstreamStream:
        """Return a new connection by the way of the answer; raise `ConnectFailed`."""
        return await self._dialer.dial_by(self._relay, self._record, CONNECT_TIMEOUT_MS)

    def _wrap(self, stream: UpstreamStream) -> HttpConnection:
        """Return the connection on a stream, which is closed with all others."""
        conn = HttpConnection(stream, f"{self._record.host}:{self._record.port}")
        self._made.append(conn)
        return conn

    async def _hold(self, stream: UpstreamStream) -> None:
        """Note the end of the connection, and renew it, until it is taken."""
        interval_ms = RENEWAL_INTERVAL_MS if self._renewed else math.inf
        while self._conn is not None:
            await self._wait_for_end(stream, interval_ms)
            if self._conn is not None:
                stream = await self._renew(stream)

    async def _wait_for_end(self, stream: UpstreamStream, span_ms: float) -> None:
        """Note the end of the connection within a time, unless it is taken before."""
        self._reading = trio.CancelScope()
        with trio.move_on_after(span_ms / MS_PER_SECOND), self._reading:
            with suppress(trio.BrokenResourceError):
                # A reset is an end, too.
                await stream.receive_some(1)
            self._conn = None
            self._ended_at = self._clock.now()

    async def _renew(self, stream: UpstreamStream) -> UpstreamStream:
        """Return a new connection in place of one that still holds, else that one.

        As that one has not ended, both are to the same process.
        """
        held = self._conn
        try:
            new_stream = await self._dial()
        except ConnectFailed:
            return stream
        conn = self._wrap(new_stream)
        if self._conn is held:
            await self._wait_for_end(stream, END_DELAY_MS)
        if self._conn is not held:
            # It was taken, or has ended.
            conn.abort()
            return stream
        held.abort()
        self._made.remove(held)
        self._conn = conn
        return new_stream

    def has_ended_since(self, since: Millis) -> bool:
        """Return whether the connection was seen to end at `since` or later."""
        return self._ended_at is not None and self._ended_at >= since

    async def take(self) -> HttpConnection | None:
        """Return the connection for one question, `None` if there is none any more."""
        if not self._wanted.is_set():
            return None
        await self._opened.wait()
        conn, self._conn = self._conn, None
        self._reading.cancel()
        # The task that reads on it has a turn to stop.
        await trio.lowlevel.checkpoint()
        return conn
