"""Hold a second connection to the process of an answer that ends with its connection."""

from contextlib import suppress

import trio

from skylarklift.clock import Clock, Millis
from skylarklift.entry.model import UpstreamRecord
from skylarklift.entry.relays.dialer import Dialer
from skylarklift.entry.requests.http_connection import HttpConnection, UpstreamStream
from skylarklift.errors import ConnectFailed

CONNECT_TIMEOUT_MS = 250


class SecondConnection:
    """A connection that is made while the answer comes, and used after its end.

    Unlike a connection that is made then, it is not to a later process at the same address, and it
    ends with the answer's if their link is closed.
    """

    def __init__(self, clock: Clock, dialer: Dialer, record: UpstreamRecord):
        self._clock = clock
        self._dialer = dialer
        self._record = record
        self._wanted = trio.Event()
        # The router that relays the answer, so that both connections share their links.
        self._relay: str | None = None
        self._opened = trio.Event()
        self._conn: HttpConnection | None = None
        self._reading = trio.CancelScope()
        self._ended_at: Millis | None = None

    def start(self, relay: str | None) -> None:
        """Let `run` make the connection by the way of the answer."""
        self._relay = relay
        self._wanted.set()

    async def run(self) -> None:
        """Make the connection, once it is wanted, and hold it until cancelled."""
        await self._wanted.wait()
        record = self._record
        try:
            stream = await self._dialer.dial_by(self._relay, record, CONNECT_TIMEOUT_MS)
        except ConnectFailed:
            # Without the connection nothing shows that the process lives.
            self._opened.set()
            return
        conn = HttpConnection(stream, f"{record.host}:{record.port}")
        try:
            self._conn = conn
            self._opened.set()
            await self._wait_for_end(stream)
            await trio.sleep_forever()
        finally:
            conn.abort()

    async def _wait_for_end(self, stream: UpstreamStream) -> None:
        """Note the end of the connection, unless it is taken before."""
        with self._reading:
            with suppress(trio.BrokenResourceError):
                # A reset is an end, too.
                await stream.receive_some(1)
            self._conn = None
            self._ended_at = self._clock.now()

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
